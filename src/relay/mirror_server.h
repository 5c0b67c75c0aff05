#ifndef AUBURNYARD_SRC_RELAY_MIRROR_SERVER_H_
#define AUBURNYARD_SRC_RELAY_MIRROR_SERVER_H_

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "src/net/http_server.h"
#include "src/relay/relay_context.h"
#include "src/relay/store_mirror.h"

namespace auburnyard {

/// Lets other hosts follow the store through this one. A question about changes
/// waits for the next one if this host watches the store itself; otherwise it
/// is answered at once, so that the other host asks elsewhere.
class MirrorServer {
 public:
  MirrorServer(const RelayContext& context,
               const StoreCodec& codec,
               const StoreMirror& mirror);

  /// Throws Error(kConnection).
  void Listen(const std::string& address);
  /// Whether this host watches the store and is in contact with it.
  void SetDirect(bool watches_store);
  /// When all changes up to then were known here.
  void SetUpToDateAt(TimePoint time) { this->up_to_date_at = time; }
  /// The mirror has changed.
  void OnChange();
  /// Answers what has waited long enough.
  void Sweep();
  std::size_t pending_requests() const { return this->pending.size(); }
  /// Hosts that follow this one; the most of the last seconds.
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
  // Of the present interval and the one before it.
  std::size_t max_pending = 0;
  std::size_t previous_max_pending = 0;
  TimePoint next_count{};
};

}  // namespace auburnyard

#endif  // AUBURNYARD_SRC_RELAY_MIRROR_SERVER_H_
