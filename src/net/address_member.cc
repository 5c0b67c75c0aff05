#include "src/net/address_member.h"

#include "src/net/http_client.h"

namespace auburnyard {

namespace {

void CheckAddress(const std::string& address, const std::string& path) {
  try {
    ParseHostPort(address);
  } catch (const Error&) {
    throw Error(ErrorKind::kBadSettings, path + ": expected IP:port");
  }
}

}  // namespace

std::string ReadAddress(const detail::JsonReader& reader,
                        std::string_view name) {
  std::string address = reader.String(name);
  CheckAddress(address, reader.PathOf(name));
  return address;
}

std::vector<std::string> ReadAddresses(const detail::JsonReader& reader,
                                       std::string_view name) {
  std::vector<std::string> addresses;
  for (const boost::json::value& value : reader.Array(name)) {
    addresses.emplace_back(value.is_string() ? value.as_string().c_str() : "");
    CheckAddress(addresses.back(), reader.PathOf(name));
  }
  return addresses;
}

}  // namespace auburnyard
