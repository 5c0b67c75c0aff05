#include "auburnyard/configuration_store.h"

#include <utility>

#include "auburnyard/error.h"
#include "src/core/fnv_hash.h"
#include "src/core/json_reader.h"

namespace auburnyard {

struct ConfigurationStore::ParsedDocument {
  StoredDocument stored;
  std::shared_ptr<const Configuration> configuration;
  std::shared_ptr<const ShardMap> catalog;
};

namespace {

// Documents that differ only in the order of members, or in members with
// default values being present or omitted, have equal canonical forms.
boost::json::value Canonicalize(const std::string& serialized) {
  return detail::ParseJson(serialized, ErrorKind::kInternal);
}

}  // namespace

ConfigurationStore::ParsedDocument ConfigurationStore::Parse(
    std::string_view key,
    std::string_view document) {
  ParsedDocument parsed;
  if (key == kConfigurationKey) {
    parsed.configuration =
        std::make_shared<const Configuration>(ParseConfiguration(document));
    parsed.stored.revision = parsed.configuration->revision;
    parsed.stored.content =
        Canonicalize(SerializeConfiguration(*parsed.configuration));
  } else if (key.starts_with(kCatalogPrefix)) {
    parsed.catalog = std::make_shared<const ShardMap>(ParseShardMap(document));
    parsed.stored.revision = parsed.catalog->revision;
    parsed.stored.content = Canonicalize(SerializeShardMap(*parsed.catalog));
    if (parsed.catalog->service != key.substr(kCatalogPrefix.size())) {
      throw Error(ErrorKind::kBadRequest,
                  "service: expected the service named by the key");
    }
  } else {
    throw Error(ErrorKind::kBadRequest,
                "\"" + std::string(key) + "\": not a configuration document");
  }
  parsed.stored.text = std::string(document);
  return parsed;
}

DocumentOutcome ConfigurationStore::Apply(const std::string& key,
                                          ParsedDocument& parsed) {
  StoredDocument& stored = this->documents[key];
  if (parsed.stored.revision < stored.revision) {
    ++this->counts.older;
    return DocumentOutcome::kOlder;
  }
  if (parsed.stored.revision == stored.revision) {
    const bool same = parsed.stored.content == stored.content;
    ++(same ? this->counts.unchanged : this->counts.conflict);
    return same ? DocumentOutcome::kUnchanged : DocumentOutcome::kConflict;
  }
  stored = std::move(parsed.stored);
  if (parsed.configuration) {
    this->current_configuration = std::move(parsed.configuration);
  } else {
    this->catalogs[parsed.catalog->service] = std::move(parsed.catalog);
  }
  ++this->counts.accepted;
  return DocumentOutcome::kAccepted;
}

DocumentOutcome ConfigurationStore::Offer(std::string_view key,
                                          std::string_view document) {
  ParsedDocument parsed;
  try {
    parsed = Parse(key, document);
  } catch (const Error&) {
    const std::lock_guard lock(this->mutex);
    ++this->counts.malformed;
    throw;
  }
  const DocumentDigest digest{std::string(key), parsed.stored.revision};
  std::vector<ChangeCallback> notify;
  {
    const std::lock_guard lock(this->mutex);
    const DocumentOutcome outcome = this->Apply(digest.key, parsed);
    if (outcome != DocumentOutcome::kAccepted) {
      return outcome;
    }
    notify = this->callbacks;
  }
  for (const ChangeCallback& callback : notify) {
    callback(digest);
  }
  return DocumentOutcome::kAccepted;
}

std::shared_ptr<const Configuration> ConfigurationStore::configuration() const {
  const std::lock_guard lock(this->mutex);
  return this->current_configuration;
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

std::vector<DocumentDigest> ConfigurationStore::Digests() const {
  const std::lock_guard lock(this->mutex);
  std::vector<DocumentDigest> digests;
  for (const auto& [key, stored] : this->documents) {
    digests.push_back({key, stored.revision});
  }
  return digests;
}

std::uint64_t ConfigurationStore::DigestHash() const {
  std::string text;
  for (const DocumentDigest& digest : this->Digests()) {
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
    std::span<const DocumentDigest> peer_digests) const {
  std::map<std::string_view, std::uint64_t> peer_revisions;
  for (const DocumentDigest& digest : peer_digests) {
    peer_revisions[digest.key] = digest.revision;
  }
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> newer;
  for (const auto& [key, stored] : this->documents) {
    const auto found = peer_revisions.find(key);
    if (found == peer_revisions.end() || found->second < stored.revision) {
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
