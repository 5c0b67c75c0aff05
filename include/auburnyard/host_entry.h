#ifndef AUBURNYARD_HOST_ENTRY_H_
#define AUBURNYARD_HOST_ENTRY_H_

#include <string>

namespace auburnyard {

/// Registration of an entry host.
struct HostEntry {
  std::string name;
  std::string address;  ///< IP:port for requests of other entry hosts
  std::string failure_domain;
  double cores = 1;            ///< processor cores that it may use
  std::string mirror_address;  ///< IP:port of its store mirror; may be empty
  /// IP:port at which it decides on requests of accounts; may be empty.
  std::string accounts_address;

  bool operator==(const HostEntry&) const = default;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_HOST_ENTRY_H_
