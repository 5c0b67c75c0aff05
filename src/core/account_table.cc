#include "auburnyard/account_table.h"

#include <cstring>
#include <utility>

#include <openssl/rand.h>
#include <openssl/sha.h>

#include "auburnyard/error.h"

namespace auburnyard {

static_assert(SHA256_DIGEST_LENGTH == 32);

// The salt differs at each host and in each version, so that digests cannot be
// compared between them.
AccountTable::AccountTable(std::vector<AccountWithKeys> accounts) {
  if (RAND_bytes(this->salt.data(), static_cast<int>(this->salt.size())) != 1) {
    throw Error(ErrorKind::kInternal, "no random bytes for the account table");
  }
  for (AccountWithKeys& entry : accounts) {
    const std::string name = entry.account.name;
    if (name.empty()) {
      throw Error(ErrorKind::kProtocol, "an account has no name");
    }
    const auto [stored, added] =
        this->by_name.emplace(name, std::move(entry.account));
    if (!added) {
      throw Error(ErrorKind::kProtocol, "account " + name + ": listed twice");
    }
    for (const std::string& key : entry.keys) {
      if (key.empty()) {
        throw Error(ErrorKind::kProtocol, "account " + name + ": empty key");
      }
      const auto known =
          this->by_key.emplace(this->DigestOf(key), &stored->second).first;
      if (known->second != &stored->second) {
        throw Error(ErrorKind::kProtocol, "accounts " + known->second->name +
                                              " and " + name +
                                              ": the same key");
      }
    }
  }
}

// A digest is uniformly distributed, so any of its bytes are a hash.
std::size_t AccountTable::DigestHash::operator()(const Digest& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof(hash));
  return hash;
}

AccountTable::Digest AccountTable::DigestOf(std::string_view key) const {
  std::string salted(reinterpret_cast<const char*>(this->salt.data()),
                     this->salt.size());
  salted += key;
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(salted.data()), salted.size(),
         digest.data());
  return digest;
}

const ClientAccount* AccountTable::FindByKey(std::string_view key) const {
  const auto found = this->by_key.find(this->DigestOf(key));
  return found == this->by_key.end() ? nullptr : found->second;
}

const ClientAccount* AccountTable::FindByName(std::string_view name) const {
  const auto found = this->by_name.find(name);
  return found == this->by_name.end() ? nullptr : &found->second;
}

}  // namespace auburnyard
