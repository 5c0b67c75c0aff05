#include "src/daemon/host_list.h"

#include "auburnyard/error.h"
#include "src/core/json_reader.h"

namespace auburnyard {

std::optional<std::vector<ListedHost>> ParseHostList(std::string_view body) {
  try {
    const boost::json::value document =
        detail::ParseJson(body, ErrorKind::kProtocol, /*comments=*/false);
    const detail::JsonReader reader(document, "", ErrorKind::kProtocol);
    std::vector<ListedHost> hosts;
    for (const boost::json::value& entry : reader.Array("hosts")) {
      const detail::JsonReader host(entry, "hosts[]", ErrorKind::kProtocol);
      hosts.push_back(
          {host.String("id"), host.String("address"), host.String("domain")});
    }
    return hosts;
  } catch (const Error&) {
    return std::nullopt;
  }
}

}  // namespace auburnyard
