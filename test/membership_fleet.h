#ifndef AUBURNYARD_TEST_MEMBERSHIP_FLEET_H_
#define AUBURNYARD_TEST_MEMBERSHIP_FLEET_H_

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "auburnyard/membership.h"
#include "auburnyard/ownership.h"

namespace auburnyard {

struct FleetEvent {
  enum class Kind {
    kCrash,
    kRestart,
    kLeave,
    kPause,
    kResume,
    kCut,
    kHeal,
    kDelist,
    kListOutage,
    kLossy,
    kWait
  };
  Kind kind = Kind::kWait;
  std::size_t a = 0;
  std::size_t b = 0;
  int steps = 0;
};

/// Hosts of one ownership group over a network that loses, delays and
/// duplicates messages, in steps of 50 ms.
class MembershipFleet {
 public:
  static constexpr int kTargets = 6;
  static constexpr std::chrono::milliseconds kStep{50};

  MembershipFleet(std::size_t count, std::uint64_t seed, MembershipTiming t)
      : hosts(count), random(seed), timing(t) {
    for (std::size_t i = 0; i < count; ++i) {
      this->Start(i);
    }
  }

  static std::string Target(int i) { return "target-" + std::to_string(i); }
  static std::uint32_t Limit(int i) { return 2 + static_cast<unsigned>(i) % 5; }

  void Apply(const FleetEvent& event) {
    const std::size_t a = event.a % this->hosts.size();
    const std::size_t b = event.b % this->hosts.size();
    Host& host = this->hosts[a];
    switch (event.kind) {
      case FleetEvent::Kind::kCrash:
        this->Stop(a);
        break;
      case FleetEvent::Kind::kRestart:
        if (this->CanFindAllHosts()) {
          this->Start(a);
        }
        break;
      case FleetEvent::Kind::kLeave:
        if (host.membership && !host.paused) {
          this->Send(a, host.membership->Leave(this->now));
          this->Stop(a);
        }
        break;
      case FleetEvent::Kind::kPause:
        host.paused = true;
        break;
      case FleetEvent::Kind::kResume:
        host.paused = false;
        break;
      case FleetEvent::Kind::kCut:
        this->cuts.insert({std::min(a, b), std::max(a, b)});
        break;
      case FleetEvent::Kind::kHeal:
        this->cuts.clear();
        break;
      case FleetEvent::Kind::kDelist:
        host.delisted = !host.delisted;
        break;
      case FleetEvent::Kind::kListOutage:
        this->list_outage = !this->list_outage;
        break;
      case FleetEvent::Kind::kLossy:
        this->lossy = !this->lossy;
        break;
      case FleetEvent::Kind::kWait:
        break;
    }
    this->Check();
    this->Run(event.steps);
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      this->now += kStep;
      this->Check();  // the first dispatch of a resumed host comes before its
                      // timers
      this->Deliver();
      for (std::size_t h = 0; h < this->hosts.size(); ++h) {
        this->StepHost(h);
      }
      this->Check();
    }
  }

  /// Ends all faults and starts every host.
  void EndFaults() {
    this->cuts.clear();
    this->lossy = false;
    this->list_outage = false;
    for (std::size_t h = 0; h < this->hosts.size(); ++h) {
      this->hosts[h].paused = false;
      this->hosts[h].delisted = false;
      if (!this->hosts[h].membership) {
        this->Start(h);
      }
    }
  }

  SlotShare ShareOf(std::size_t host, int target) {
    return this->hosts[host].ownership->ShareOf(Target(target), Limit(target),
                                                this->now);
  }
  std::string OwnerOf(std::size_t host, int target) {
    const auto owner =
        this->hosts[host].ownership->OwnerOf(Target(target), "d", this->now);
    return owner ? owner->id : std::string();
  }
  Membership& At(std::size_t host) { return *this->hosts[host].membership; }
  bool Up(std::size_t h) const { return this->hosts[h].membership != nullptr; }
  std::size_t size() const { return this->hosts.size(); }
  static std::string IdOf(std::size_t i) { return "host-" + std::to_string(i); }

  void Start(std::size_t i) {
    this->Stop(i);
    Host& host = this->hosts[i];
    host = Host{};
    host.nonce = ++this->last_nonce;
    HostRecord self{IdOf(i), IdOf(i), "d", "0", host.nonce};
    host.membership = std::make_unique<Membership>(self, this->timing, true,
                                                   this->random(), this->now);
    host.ownership = std::make_unique<Ownership>(*host.membership);
    host.next_list = this->now;
    for (std::size_t peer = 0; peer < this->hosts.size(); ++peer) {
      host.membership->AddContact(IdOf(peer));
    }
  }

  /// Whether the shares of a target ever added up to more than its limit;
  /// `trace` describes the first time.
  bool limit_exceeded = false;
  std::string trace;
  TimePoint now{std::chrono::hours(1)};

 private:
  struct Host {
    std::unique_ptr<Membership> membership;
    std::unique_ptr<Ownership> ownership;
    std::uint64_t nonce = 0;
    bool paused = false;
    bool delisted = false;
    TimePoint next_list;
    TimePoint listed_until;  // end of the host's lease in the host list
  };
  struct InTransit {
    TimePoint due;
    std::size_t to = 0;
    PeerIdentity from;
    MembershipMessage message;
  };

  /// Whether a new process can find all other hosts, by the list or by address.
  /// Otherwise the claim does not hold; see src/core/ownership.cc.
  bool CanFindAllHosts() const {
    const bool all_listed =
        std::none_of(this->hosts.begin(), this->hosts.end(),
                     [](const Host& host) { return host.delisted; });
    return this->cuts.empty() || (all_listed && !this->list_outage);
  }

  void Stop(std::size_t i) {
    this->hosts[i].membership.reset();
    this->hosts[i].ownership.reset();
  }

  void Check() {
    for (int target = 0; target < kTargets; ++target) {
      std::uint32_t sum = 0;
      std::string parts;
      for (std::size_t h = 0; h < this->hosts.size(); ++h) {
        if (this->Up(h) && !this->hosts[h].paused) {
          const SlotShare share = this->ShareOf(h, target);
          sum += share.slots;
          parts += " " + IdOf(h) + "=" + std::to_string(share.slots) + "(" +
                   std::string(ToString(share.reason)) + ")" + this->ViewOf(h);
        }
      }
      if (sum > Limit(target) && !this->limit_exceeded) {
        this->limit_exceeded = true;
        this->trace =
            Target(target) + " limit " + std::to_string(Limit(target)) + parts +
            " at " +
            std::to_string(ToMilliseconds(this->now.time_since_epoch())) +
            " ms";
      }
    }
  }

  std::string ViewOf(std::size_t h) const {
    const Membership& membership = *this->hosts[h].membership;
    std::string text = "[";
    for (const auto& member : membership.positions().front().view.members()) {
      text += member.id + "/" + std::to_string(member.nonce) + " ";
    }
    for (const auto& [id, member] : membership.peers()) {
      text += id + ":" + std::to_string(static_cast<int>(member.record.state)) +
              std::to_string(static_cast<int>(member.record.leave_source)) +
              (member.member_lists_merged ? "e" : "") + " ";
    }
    return text + "]";
  }

  void Send(std::size_t from, std::vector<OutgoingMessage> messages) {
    const HostRecord& self = this->hosts[from].membership->self();
    for (OutgoingMessage& outgoing : messages) {
      const std::size_t to = this->IndexOf(outgoing.address);
      if (this->cuts.contains({std::min(from, to), std::max(from, to)}) ||
          (this->lossy && this->random() % 4 == 0)) {
        continue;
      }
      const int copies = this->lossy && this->random() % 8 == 0 ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        const int delay =
            static_cast<int>(this->random() % (this->lossy ? 30 : 2));
        this->transit.push_back({this->now + delay * kStep,
                                 to,
                                 {self.id, self.address, self.nonce},
                                 outgoing.message});
      }
    }
  }

  std::size_t IndexOf(const std::string& address) const {
    return static_cast<std::size_t>(std::stoul(address.substr(5)));
  }

  void Deliver() {
    std::vector<InTransit> waiting;
    waiting.swap(this->transit);
    for (InTransit& item : waiting) {
      Host& host = this->hosts[item.to];
      if (item.due > this->now || (host.membership && host.paused)) {
        this->transit.push_back(std::move(item));
      } else if (host.membership) {
        this->Receive(item);
      }
    }
  }

  void Receive(const InTransit& item) {
    Membership& membership = *this->hosts[item.to].membership;
    if (const auto* heartbeat = std::get_if<Heartbeat>(&item.message)) {
      this->Send(item.to,
                 membership.OnHeartbeat(item.from, *heartbeat, this->now));
    } else if (const auto* ack = std::get_if<HeartbeatAck>(&item.message)) {
      membership.OnHeartbeatAck(item.from, *ack, this->now);
    } else if (const auto* leave = std::get_if<LeaveNotice>(&item.message)) {
      membership.OnLeave(item.from, *leave, this->now);
    } else if (const auto* gossip = std::get_if<GossipRecords>(&item.message)) {
      this->Send(item.to, membership.OnGossip(item.from, *gossip, this->now));
    }
  }

  void StepHost(std::size_t h) {
    constexpr std::chrono::seconds kListInterval{2};
    constexpr std::chrono::seconds kLease{3};
    Host& host = this->hosts[h];
    if (!host.membership || host.paused) {
      return;
    }
    if (!host.delisted) {
      host.listed_until = this->now + kLease;
    }
    if (host.next_list <= this->now && !this->list_outage) {
      std::vector<ListedHost> list;
      for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        if (this->hosts[i].listed_until > this->now) {
          list.push_back({IdOf(i), IdOf(i), "d"});
        }
      }
      host.membership->OnHostList(list, kListInterval, this->now);
      host.next_list = this->now + kListInterval;
    }
    this->Send(h, host.membership->Tick(this->now));
    if ((this->now - TimePoint{}) % std::chrono::milliseconds(500) ==
        Duration::zero()) {
      this->Send(h, host.membership->GossipRound(2));
    }
  }

  std::vector<Host> hosts;
  std::mt19937_64 random;
  MembershipTiming timing;
  std::vector<InTransit> transit;
  std::set<std::pair<std::size_t, std::size_t>> cuts;
  std::uint64_t last_nonce = 0;
  bool lossy = false;
  bool list_outage = false;
};

}  // namespace auburnyard

#endif  // AUBURNYARD_TEST_MEMBERSHIP_FLEET_H_
