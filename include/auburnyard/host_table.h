#ifndef AUBURNYARD_HOST_TABLE_H_
#define AUBURNYARD_HOST_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "auburnyard/clock.h"
#include "auburnyard/host_entry.h"

namespace auburnyard {

/// Sorts hosts by their processor cores in descending order, and equal ones by
/// rendezvous score for `key`. All hosts with the same view compute the same
/// order.
void SortByCapacity(std::vector<HostEntry>& hosts, std::string_view key);

/// Registered entry hosts. A host whose registration was removed still counts
/// for a retention period, because it may be alive and cut off from the store.
class HostTable {
 public:
  void Upsert(const HostEntry& entry);
  void Remove(std::string_view name, TimePoint now);
  /// Replaces all registrations.
  void Reset(const std::vector<HostEntry>& entries, TimePoint now);

  /// Number of hosts that share the limits of targets, which are the hosts that
  /// connect to all targets. At least 1.
  std::size_t SharingHostCount(TimePoint now) const;
  std::vector<HostEntry> RegisteredHosts() const;
  /// Failure domains with registered hosts.
  std::vector<std::string> Domains() const;
  /// Registered hosts of a failure domain.
  std::vector<HostEntry> HostsInDomain(std::string_view domain) const;
  /// Hosts of a failure domain that fetch parts for other hosts: those with the
  /// most processor cores, the same for every host with the same view.
  const std::vector<HostEntry>& Fetchers(std::string_view domain) const;
  /// Hosts of a failure domain that decide on requests of accounts: those that
  /// fetch parts for others, or all hosts of a small domain.
  std::vector<HostEntry> QuotaServers(std::string_view domain) const;
  /// Whether the domain has so many hosts that a few of them fetch parts for
  /// the remaining ones.
  bool IsLargeDomain(std::string_view domain) const;
  /// Whether a host keeps connections to all targets.
  bool ConnectsToTargets(std::string_view name, std::string_view domain) const;
  /// Rank of a host by rendezvous score for `key` among the hosts that share
  /// the limits of targets; the same on every host with the same view. A host
  /// that does not share them ranks behind all of these.
  std::size_t Rank(std::string_view name,
                   std::string_view key,
                   TimePoint now) const;

 private:
  struct TrackedHost {
    HostEntry entry;
    bool registered = true;
    TimePoint retained_until{};
  };
  struct DomainSummary {
    std::size_t size = 0;
    std::vector<HostEntry> fetchers;
  };
  std::vector<std::string_view> SharingHosts(TimePoint now) const;
  const DomainSummary& SummaryOf(std::string_view domain) const;

  std::map<std::string, TrackedHost, std::less<>> hosts;  // by name
  // Cache, because every request needs the summary of its domain.
  mutable std::map<std::string, DomainSummary, std::less<>> summaries;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_HOST_TABLE_H_
