#ifndef AUBURNYARD_UTIL_HOST_LIST_STANDIN_HOST_LIST_SERVICE_H_
#define AUBURNYARD_UTIL_HOST_LIST_STANDIN_HOST_LIST_SERVICE_H_

#include <chrono>
#include <mutex>
#include <string_view>

#include "src/net/http_server.h"
#include "util/host_list_standin/host_table.h"

namespace auburnyard::util {

/// Serves GET /v1/hosts. Control interface:
///   POST /v1/control  {"host": {...}, "remove": id, "lag_ms", "outage": bool}
///   GET  /v1/status   {"calls"}
class HostListService {
 public:
  HostListService(const Clock& clock, std::chrono::milliseconds initial_lag);

  /// Adds a host that is listed from the start.
  void AddInitial(const detail::JsonReader& reader);
  void Handle(const HttpRequest& request, const HttpResponder& respond);
  void HandleControl(const HttpRequest& request, const HttpResponder& respond);

 private:
  void Apply(const detail::JsonReader& reader);

  const Clock& clock;
  std::mutex mutex;
  HostTable table;
  std::chrono::milliseconds lag;
  std::uint64_t calls = 0;
  bool outage = false;
};

}  // namespace auburnyard::util

#endif  // AUBURNYARD_UTIL_HOST_LIST_STANDIN_HOST_LIST_SERVICE_H_
