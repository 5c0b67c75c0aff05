#ifndef AUBURNYARD_CONFIGURATION_STORE_H_
#define AUBURNYARD_CONFIGURATION_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "auburnyard/configuration.h"
#include "auburnyard/shard_map.h"

namespace auburnyard {

inline constexpr std::string_view kConfigurationKey = "auburnyard/config";
inline constexpr std::string_view kCatalogPrefix = "auburnyard/catalog/";

/// Result of offering a document.
enum class DocumentOutcome {
  kAccepted,
  kUnchanged,  ///< same revision, same content
  kOlder,      ///< lower revision, rejected
  kConflict,   ///< same revision, different content, rejected
};

/// Revision in force of one document, as exchanged between hosts.
struct DocumentDigest {
  std::string key;
  std::uint64_t revision = 0;

  auto operator<=>(const DocumentDigest&) const = default;
};

struct ConfigurationCounters {
  std::uint64_t accepted = 0;
  std::uint64_t unchanged = 0;
  std::uint64_t older = 0;
  std::uint64_t conflict = 0;
  std::uint64_t malformed = 0;
};

/// Holds the documents in force. The revision of a document never decreases.
/// Thread-safe.
class ConfigurationStore {
 public:
  using CatalogTable =
      std::map<std::string, std::shared_ptr<const ShardMap>, std::less<>>;
  using ChangeCallback = std::function<void(const DocumentDigest&)>;

  /// Puts the document into force if its revision is higher than the one in
  /// force. Throws Error(kBadRequest), and changes nothing, for a malformed
  /// document or an unknown key.
  DocumentOutcome Offer(std::string_view key, std::string_view document);

  /// Null until a configuration was accepted.
  std::shared_ptr<const Configuration> configuration() const;
  /// Null for a service without a catalog.
  std::shared_ptr<const ShardMap> Catalog(std::string_view service) const;
  CatalogTable Catalogs() const;

  std::vector<DocumentDigest> Digests() const;
  /// Hash over all digests. Equal on hosts with the same revisions in force, so
  /// a gossip round sends the digests only if the hashes differ.
  std::uint64_t DigestHash() const;
  /// Revision in force, 0 if there is none.
  std::uint64_t RevisionOf(std::string_view key) const;
  /// Text of a document in force, empty if there is none.
  std::string DocumentText(std::string_view key) const;
  /// Keys of the documents in force that are newer than in `peer_digests`, or
  /// missing there.
  std::vector<std::string> NewerThan(
      std::span<const DocumentDigest> peer_digests) const;

  /// Adds a callback that runs after each change, without the lock held.
  /// Concurrent changes may be reported in any order, so the callback must read
  /// the value in force from the store.
  void OnChange(ChangeCallback callback);
  ConfigurationCounters counters() const;

 private:
  struct StoredDocument {
    std::uint64_t revision = 0;
    std::string text;
    boost::json::value content;
  };
  struct ParsedDocument;

  static ParsedDocument Parse(std::string_view key, std::string_view document);
  DocumentOutcome Apply(const std::string& key, ParsedDocument& parsed);

  mutable std::mutex mutex;
  std::map<std::string, StoredDocument, std::less<>> documents;
  std::shared_ptr<const Configuration> current_configuration;
  CatalogTable catalogs;
  std::vector<ChangeCallback> callbacks;
  ConfigurationCounters counts;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_CONFIGURATION_STORE_H_
