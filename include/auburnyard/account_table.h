#ifndef AUBURNYARD_ACCOUNT_TABLE_H_
#define AUBURNYARD_ACCOUNT_TABLE_H_

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "auburnyard/client_account.h"

namespace auburnyard {

/// An account with the keys that identify it.
struct AccountWithKeys {
  ClientAccount account;
  std::vector<std::string> keys;
};

/// Client accounts of one version of the configuration. Immutable. Holds
/// salted digests in place of the keys.
class AccountTable {
 public:
  /// Throws Error(kProtocol) without naming a key if a name or a key is empty
  /// or used twice.
  explicit AccountTable(std::vector<AccountWithKeys> accounts);

  /// Account that the key identifies, or null. Takes the same time for all keys
  /// of a length.
  const ClientAccount* FindByKey(std::string_view key) const;
  /// Account with the name, or null.
  const ClientAccount* FindByName(std::string_view name) const;
  std::size_t size() const { return this->by_name.size(); }

 private:
  static constexpr std::size_t kDigestBytes = 32;
  using Digest = std::array<unsigned char, kDigestBytes>;
  struct DigestHash {
    std::size_t operator()(const Digest& digest) const;
  };

  Digest DigestOf(std::string_view key) const;

  Digest salt{};
  std::map<std::string, ClientAccount, std::less<>> by_name;
  std::unordered_map<Digest, const ClientAccount*, DigestHash> by_key;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_ACCOUNT_TABLE_H_
