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

/// What happened to an offered document.
enum class DocumentOutcome {
  kTaken,
  kUnchanged,  ///< same revision, same content
  kOlder,      ///< lower revision, refused
  kConflict,   ///< same revision, different content, refused
};

/// Revision in force of one document, as exchanged between hosts.
struct DocumentRevision {
  std::string key;
  std::uint64_t revision = 0;

  auto operator<=>(const DocumentRevision&) const = default;
};

struct ConfigurationCounters {
  std::uint64_t taken = 0;
  std::uint64_t unchanged = 0;
  std::uint64_t older = 0;
  std::uint64_t conflict = 0;
  std::uint64_t malformed = 0;
};

/// Holds the documents in force. The revision of a document only rises.
/// Thread-safe.
class ConfigurationStore {
 public:
  using CatalogTable =
      std::map<std::string, std::shared_ptr<const ShardMap>, std::less<>>;
  using ChangeCallback = std::function<void(const DocumentRevision&)>;

  /// Takes the document if its revision is higher than the one in force. Throws
  /// Error(kBadRequest), and changes nothing, for a malformed document or an
  /// unknown key.
  DocumentOutcome Offer(std::string_view key, std::string_view document);

  /// Null until a configuration was taken.
  std::shared_ptr<const Configuration> configuration() const;
  /// Null for a service without a catalog.
  std::shared_ptr<const ShardMap> Catalog(std::string_view service) const;
  CatalogTable Catalogs() const;

  std::vector<DocumentRevision> Digests() const;
  /// Hash over all digests. Equal on hosts with the same revisions in force, so
  /// a gossip round sends the digests only if the hashes differ.
  std::uint64_t DigestHash() const;
  /// Revision in force, 0 if there is none.
  std::uint64_t RevisionOf(std::string_view key) const;
  /// Text of a document in force, empty if there is none.
  std::string DocumentText(std::string_view key) const;
  /// Keys of the documents in force that are newer than `theirs`.
  std::vector<std::string> NewerThan(
      std::span<const DocumentRevision> theirs) const;

  /// Adds a function that runs after each change, without a lock held.
  /// Concurrent changes may be reported in any order, so it reads the value in
  /// force from the store.
  void OnChange(ChangeCallback callback);
  ConfigurationCounters counters() const;

 private:
  struct Held {
    std::uint64_t revision = 0;
    std::string text;
    boost::json::value content;
  };
  struct Parsed;

  static Parsed Parse(std::string_view key, std::string_view document);
  DocumentOutcome Take(const std::string& key, Parsed& parsed);

  mutable std::mutex mutex;
  std::map<std::string, Held, std::less<>> documents;
  std::shared_ptr<const Configuration> current;
  CatalogTable catalogs;
  std::vector<ChangeCallback> callbacks;
  ConfigurationCounters counts;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_CONFIGURATION_STORE_H_
