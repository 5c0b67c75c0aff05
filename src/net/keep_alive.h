#ifndef AUBURNYARD_SRC_NET_KEEP_ALIVE_H_
#define AUBURNYARD_SRC_NET_KEEP_ALIVE_H_

#include <chrono>

#include <boost/asio/ip/tcp.hpp>

namespace auburnyard {

/// Enables TCP keep-alive, which closes the connection after about three
/// intervals if the remote host no longer responds. Errors are ignored, because
/// the time-outs of the exchanges still apply.
void EnableKeepAlive(boost::asio::ip::tcp::socket& socket,
                     std::chrono::seconds interval);

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_NET_KEEP_ALIVE_H_
