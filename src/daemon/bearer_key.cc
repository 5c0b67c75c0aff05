#include "src/daemon/bearer_key.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <boost/beast/core/string.hpp>

namespace auburnyard {

namespace {

constexpr std::string_view kScheme = "Bearer ";

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest Hash(std::string_view text) {
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  return digest;
}

}  // namespace

bool HasBearerKey(const HttpRequest& request, std::string_view key) {
  const std::string_view header = request.Header("Authorization");
  const std::string_view scheme = header.substr(0, kScheme.size());
  if (!boost::beast::iequals({scheme.data(), scheme.size()},
                             {kScheme.data(), kScheme.size()})) {
    return false;
  }
  // Digests have equal lengths, so the length of the key is not revealed
  // either.
  const Digest sent = Hash(header.substr(kScheme.size()));
  const Digest expected = Hash(key);
  return CRYPTO_memcmp(sent.data(), expected.data(), sent.size()) == 0;
}

}  // namespace auburnyard
