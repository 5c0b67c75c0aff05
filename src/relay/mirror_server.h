#ifndef AUBURNYARD_SRC_RELAY_MIRROR_SERVER_H_
#define AUBURNYARD_SRC_RELAY_MIRROR_SERVER_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/net/http_server.h"
#include "src/relay/relay_context.h"
#include "src/relay/store_mirror.h"

namespace auburnyard {

/// Serves this host's copy of the store to other hosts. A request for changes
/// is held until the next change (long polling) if this host watches the store
/// itself; otherwise it is answered at once, so that the other host can choose
/// another mirror.
class MirrorServer {
 public:
  MirrorServer(const RelayContext& context,
               const StoreCodec& codec,
               const StoreMirror& mirror);

  /// Port 0 selects a free port. Throws Error(kConnection).
  void Listen(const std::string& address);
  std::uint16_t port() const { return this->server->port(); }
  /// Sets whether this host watches the store and the store answers it.
  void SetDirect(bool watches_store);
  /// Sets the time up to which all changes of the store have been applied here.
  void SetUpToDateAt(TimePoint time) { this->up_to_date_at = time; }
  /// Called after the mirror has changed.
  void OnChange();
  /// Answers requests whose wait time has passed, and updates followers().
  void Sweep();
  std::size_t pending_requests() const { return this->pending.size(); }
  /// Hosts that follow this one: the maximum number of pending requests in the
  /// current and the previous count interval.
  std::size_t followers() const {
    return std::max(this->max_pending, this->previous_max_pending);
  }

 private:
  struct PendingRequest {
    MirrorRequest mirror_request;
    TimePoint until;
    HttpResponder respond;
  };

  void Handle(const HttpRequest& request, const HttpResponder& respond);
  void Answer(const MirrorRequest& mirror_request,
              const HttpResponder& respond) const;
  void AnswerAll();

  const RelayContext& context;
  const StoreCodec& codec;
  const StoreMirror& mirror;
  std::shared_ptr<HttpServer> server;
  std::vector<PendingRequest> pending;
  bool direct = false;
  TimePoint up_to_date_at{};
  // In the current count interval and in the previous one.
  std::size_t max_pending = 0;
  std::size_t previous_max_pending = 0;
  TimePoint next_count{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_MIRROR_SERVER_H_
