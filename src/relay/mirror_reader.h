#ifndef AUBURNYARD_SRC_RELAY_MIRROR_READER_H_
#define AUBURNYARD_SRC_RELAY_MIRROR_READER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "src/net/http_client.h"
#include "src/relay/relay_context.h"
#include "src/relay/store_wire.h"

namespace auburnyard {

/// Follows the store through the mirrors of other hosts, one at a time.
class MirrorReader : public std::enable_shared_from_this<MirrorReader> {
 public:
  struct Hooks {
    /// Address of the mirror to ask next; empty if none is known.
    std::function<std::string()> choose;
    /// Revision up to which changes are known; none if nothing was read yet.
    std::function<std::optional<std::uint64_t>()> known_revision;
    /// `is_snapshot`: all keys, in place of what was known.
    std::function<void(const StorePage& page, bool is_snapshot)> on_page;
    /// The mirror did not answer, or not so that it can be read.
    std::function<void()> on_failure;
    std::function<void(std::string_view kind, bool success)> on_call;
  };

  MirrorReader(const RelayContext& context,
               const StoreCodec& codec,
               Hooks hooks);

  /// Asks until Stop is called. No effect while it runs.
  void Start();
  void Stop();

 private:
  void SendRequest();
  void Connect(const std::string& mirror);
  void OnAnswer(const ExchangeResult& result);
  /// Takes over an answer and goes on; false if it cannot be read.
  bool TakePage(const HttpResponse& response);
  void ScheduleRequest();

  const RelayContext& context;
  const StoreCodec& codec;
  Hooks hooks;
  std::shared_ptr<HttpConnection> connection;
  std::string connected_to;
  boost::asio::steady_timer timer;
  std::uint64_t generation =
      0;  // answers to questions of earlier ones are ignored
  bool running = false;
  bool read_all = false;  // the changes that are asked for were forgotten
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_MIRROR_READER_H_
