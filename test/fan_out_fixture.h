#ifndef AUBURNYARD_TEST_FAN_OUT_FIXTURE_H_
#define AUBURNYARD_TEST_FAN_OUT_FIXTURE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "auburnyard/fan_out.h"

namespace auburnyard::test {

/// A FanOut whose target replies are injected by the test. `replica_count`
/// targets serve each service: "<service>/0", "<service>/1", ...
class FanOutFixture {
 public:
  struct Sent {
    PartAttempt id;
    std::string target;
  };

  explicit FanOutFixture(std::size_t parts, bool fans_out = true) {
    for (std::size_t i = 0; i < parts; ++i) {
      const std::string service(1, static_cast<char>('a' + i));
      if (fans_out) {
        this->route.shards.push_back(service);
      } else {
        this->route.services.push_back({.service = service});
      }
      this->service_names.push_back(service);
    }
    this->route.name = "route";
    this->route.idempotent = true;
    this->route.max_attempts = 2;
    this->route.top_records = 4;
    this->route.min_coverage = 0.5;
  }

  static TimePoint At(std::int64_t ms) {
    return TimePoint(std::chrono::milliseconds(1'000'000 + ms));
  }

  FanOut& Start() {
    FanOutPlan plan;
    plan.route = &this->route;
    plan.services.assign(this->service_names.begin(),
                         this->service_names.end());
    if (!this->bundled_parts.empty()) {
      plan.bundles.push_back({this->TargetOf("host"), this->bundled_parts});
    }
    plan.partial = this->partial;
    plan.arrival = At(0);
    plan.answer_by = At(100);
    plan.deadline = At(800);
    this->fan_out = std::make_unique<FanOut>(std::move(plan), this->Hooks());
    this->fan_out->Start(At(0));
    return *this->fan_out;
  }

  /// Marks all attempts that were started as sent.
  void SendAll() {
    while (this->marked_sent < this->sent.size()) {
      this->fan_out->OnSent(this->sent[this->marked_sent++].id);
    }
  }
  void Reply(std::size_t index, std::int64_t ms, int status = 200) {
    RelayReply reply;
    reply.status = status;
    reply.signature = "signature " + this->sent[index].target;
    reply.body =
        std::string(RecordMerger::kRecordBytes, static_cast<char>('0' + index));
    this->fan_out->OnReply(this->sent[index].id, std::move(reply), At(ms));
  }
  void Fail(std::size_t index, PartFailure failure, std::int64_t ms) {
    this->fan_out->OnFailure(this->sent[index].id, failure, At(ms));
  }

  Route route;
  std::vector<std::string> service_names;
  std::vector<Sent> sent;
  std::vector<PartAttempt> abandoned;
  std::vector<FanOutResult> results;
  int repeats_allowed = 100;
  int repeats_taken = 0;
  std::string unavailable;                   ///< a service without targets
  std::vector<std::uint32_t> bundled_parts;  ///< fetched by an entry host
  bool partial = false;  ///< the answer is a bundle for another host
  std::size_t replica_count = 2;
  int bundles_sent = 0;
  int bundles_abandoned = 0;
  std::unique_ptr<FanOut> fan_out;

 private:
  FanOutHooks Hooks() {
    FanOutHooks hooks;
    hooks.choose_target = [this](
                              std::string_view service,
                              std::span<const TargetPtr> tried) -> TargetPtr {
      if (service == this->unavailable || tried.size() >= this->replica_count) {
        return nullptr;
      }
      return this->TargetOf(std::string(service) + "/" +
                            std::to_string(tried.size()));
    };
    hooks.take_repeat = [this](std::string_view, AttemptPurpose) {
      if (this->repeats_taken >= this->repeats_allowed) {
        return false;
      }
      ++this->repeats_taken;
      return true;
    };
    hooks.send_attempt = [this](PartAttempt id, const TargetPtr& target) {
      this->sent.push_back({id, target->entry().id});
    };
    hooks.abandon_attempt = [this](PartAttempt id) {
      this->abandoned.push_back(id);
    };
    hooks.finish = [this](FanOutResult result) {
      this->results.push_back(std::move(result));
    };
    hooks.count_replicas = [this](std::string_view) {
      return this->replica_count;
    };
    hooks.send_bundle = [this](std::uint32_t, const TargetPtr&) {
      ++this->bundles_sent;
    };
    hooks.abandon_bundle = [this](std::uint32_t) { ++this->bundles_abandoned; };
    return hooks;
  }

  TargetPtr TargetOf(const std::string& id) {
    TargetPtr& target = this->targets[id];
    if (target == nullptr) {
      target = std::make_shared<TargetState>(TargetEntry{.id = id},
                                             Distance::kSameDomain);
    }
    return target;
  }

  std::map<std::string, TargetPtr> targets;
  std::size_t marked_sent = 0;
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_FAN_OUT_FIXTURE_H_
