#include "src/net/address_member.h"

#include "src/net/http_client.h"

namespace auburnyard {

std::string ReadAddress(const detail::JsonReader& reader,
                        std::string_view name) {
  std::string address = reader.String(name);
  try {
    ParseHostPort(address);
  } catch (const Error&) {
    throw Error(ErrorKind::kBadSettings,
                reader.PathOf(name) + ": expected IP:port");
  }
  return address;
}

}  // namespace auburnyard
