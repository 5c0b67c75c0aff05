#include "src/net/keep_alive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace auburnyard {

namespace {

namespace asio = boost::asio;

constexpr int kMaxUnansweredProbes = 2;

}  // namespace

void EnableKeepAlive(asio::ip::tcp::socket& socket,
                     std::chrono::seconds interval) {
  using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  boost::system::error_code ignored;
  const auto seconds = static_cast<int>(interval.count());
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(Idle(seconds), ignored);
  socket.set_option(Interval(seconds), ignored);
  socket.set_option(Count(kMaxUnansweredProbes), ignored);
}

}  // namespace auburnyard
