#include "auburnyard/configuration_store.h"

#include <utility>

#include "auburnyard/error.h"
#include "src/core/fnv_hash.h"
#include "src/core/json_reader.h"

namespace auburnyard {

struct ConfigurationStore::Parsed {
  Held held;
  std::shared_ptr<const Configuration> configuration;
  std::shared_ptr<const ShardMap> catalog;
};

namespace {

// Documents with the same meaning compare equal, whatever their order of
// members and with or without members that have their default.
boost::json::value Canonical(const std::string& serialized) {
  return detail::ParseJson(serialized, ErrorKind::kInternal);
}

}  // namespace

ConfigurationStore::Parsed ConfigurationStore::Parse(
    std::string_view key,
    std::string_view document) {
  Parsed parsed;
  if (key == kConfigurationKey) {
    parsed.configuration =
        std::make_shared<const Configuration>(ParseConfiguration(document));
    parsed.held.revision = parsed.configuration->revision;
    parsed.held.content =
        Canonical(SerializeConfiguration(*parsed.configuration));
  } else if (key.starts_with(kCatalogPrefix)) {
    parsed.catalog = std::make_shared<const ShardMap>(ParseShardMap(document));
    parsed.held.revision = parsed.catalog->revision;
    parsed.held.content = Canonical(SerializeShardMap(*parsed.catalog));
    if (parsed.catalog->service != key.substr(kCatalogPrefix.size())) {
      throw Error(ErrorKind::kBadRequest,
                  "service: expected the service named by the key");
    }
  } else {
    throw Error(ErrorKind::kBadRequest,
                "\"" + std::string(key) + "\": not a configuration document");
  }
  parsed.held.text = std::string(document);
  return parsed;
}

DocumentOutcome ConfigurationStore::Take(const std::string& key,
                                         Parsed& parsed) {
  Held& held = this->documents[key];
  if (parsed.held.revision < held.revision) {
    ++this->counts.older;
    return DocumentOutcome::kOlder;
  }
  if (parsed.held.revision == held.revision) {
    const bool same = parsed.held.content == held.content;
    ++(same ? this->counts.unchanged : this->counts.conflict);
    return same ? DocumentOutcome::kUnchanged : DocumentOutcome::kConflict;
  }
  held = std::move(parsed.held);
  if (parsed.configuration) {
    this->current = std::move(parsed.configuration);
  } else {
    this->catalogs[parsed.catalog->service] = std::move(parsed.catalog);
  }
  ++this->counts.taken;
  return DocumentOutcome::kTaken;
}

DocumentOutcome ConfigurationStore::Offer(std::string_view key,
                                          std::string_view document) {
  Parsed parsed;
  try {
    parsed = Parse(key, document);
  } catch (const Error&) {
    const std::lock_guard lock(this->mutex);
    ++this->counts.malformed;
    throw;
  }
  const DocumentRevision digest{std::string(key), parsed.held.revision};
  std::vector<ChangeCallback> notify;
  {
    const std::lock_guard lock(this->mutex);
    const DocumentOutcome outcome = this->Take(digest.key, parsed);
    if (outcome != DocumentOutcome::kTaken) {
      return outcome;
    }
    notify = this->callbacks;
  }
  for (const ChangeCallback& callback : notify) {
    callback(digest);
  }
  return DocumentOutcome::kTaken;
}

std::shared_ptr<const Configuration> ConfigurationStore::configuration() const {
  const std::lock_guard lock(this->mutex);
  return this->current;
}

std::shared_ptr<const ShardMap> ConfigurationStore::Catalog(
    std::string_view service) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->catalogs.find(service);
  return found == this->catalogs.end() ? nullptr : found->second;
}

ConfigurationStore::CatalogTable ConfigurationStore::Catalogs() const {
  const std::lock_guard lock(this->mutex);
  return this->catalogs;
}

std::vector<DocumentRevision> ConfigurationStore::Digests() const {
  const std::lock_guard lock(this->mutex);
  std::vector<DocumentRevision> digests;
  for (const auto& [key, held] : this->documents) {
    digests.push_back({key, held.revision});
  }
  return digests;
}

std::uint64_t ConfigurationStore::DigestHash() const {
  std::string text;
  for (const DocumentRevision& digest : this->Digests()) {
    text += digest.key + "\n" + std::to_string(digest.revision) + "\n";
  }
  return detail::FnvHash(text);
}

std::uint64_t ConfigurationStore::RevisionOf(std::string_view key) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->documents.find(key);
  return found == this->documents.end() ? 0 : found->second.revision;
}

std::string ConfigurationStore::DocumentText(std::string_view key) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->documents.find(key);
  return found == this->documents.end() ? "" : found->second.text;
}

std::vector<std::string> ConfigurationStore::NewerThan(
    std::span<const DocumentRevision> theirs) const {
  std::map<std::string_view, std::uint64_t> known;
  for (const DocumentRevision& digest : theirs) {
    known[digest.key] = digest.revision;
  }
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> newer;
  for (const auto& [key, held] : this->documents) {
    const auto found = known.find(key);
    if (found == known.end() || found->second < held.revision) {
      newer.push_back(key);
    }
  }
  return newer;
}

void ConfigurationStore::OnChange(ChangeCallback callback) {
  const std::lock_guard lock(this->mutex);
  this->callbacks.push_back(std::move(callback));
}

ConfigurationCounters ConfigurationStore::counters() const {
  const std::lock_guard lock(this->mutex);
  return this->counts;
}

}  // namespace auburnyard
