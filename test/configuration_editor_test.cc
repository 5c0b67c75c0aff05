#include "src/daemon/configuration_editor.h"

#include <boost/test/unit_test.hpp>

#include "auburnyard/planner.h"
#include "test/configuration_fixture.h"
#include "test/property.h"

namespace auburnyard {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr std::uint64_t kBase = 10;
// Below the number of attempts of an edit, so that every outcome is decided.
constexpr int kMaxLossesPerOperator = 3;

enum class WriteDelivery { kAnswered, kReplyLost, kRequestLost, kDelayed };

// Deliberate defects in the hooks of an operator, which the properties must
// detect.
enum class Defect { kNone, kReportsUnknownAsFailed, kIgnoresVersion };

Configuration BaseConfiguration() {
  Configuration configuration = test::SmallConfiguration(kBase, "base");
  for (const std::string domain : {"north", "south"}) {
    Intent intent;
    intent.id = "out-" + domain;
    intent.author = "operator";
    intent.domains.emplace(domain, DomainAction::kTakeOut);
    configuration.intents[intent.id] = ToJson(intent);
  }
  return configuration;
}

// A store whose requests and replies arrive in generated order and whose writes
// have generated failures.
class SimulatedStore {
 public:
  SimulatedStore(std::vector<std::size_t> generated, Defect store_defect)
      : choices(std::move(generated)),
        defect(store_defect),
        value(SerializeConfiguration(BaseConfiguration())) {}

  EditorHooks HooksFor(const std::string& name) {
    auto losses = std::make_shared<int>(0);
    auto nonces = std::make_shared<int>(0);
    return {
        .get =
            [this](std::string_view, std::function<void(GetResult)> done) {
              this->ready.emplace_back([this, done] { this->Get(done); });
            },
        .put =
            [this, losses](const PutCall& put,
                           std::function<void(WriteResult)> done) {
              this->Put(put, std::move(done), *losses);
            },
        .schedule =
            [this](std::chrono::milliseconds, std::function<void()> run) {
              this->ready.push_back(std::move(run));
            },
        .nonce = [name, nonces] { return name + std::to_string(++*nonces); },
        .revision = [] { return kBase; },
        .written = [](const DocumentMessage&) {}};
  }
  void Run() {
    while (!this->ready.empty()) {
      const auto event =
          this->ready.begin() +
          static_cast<std::ptrdiff_t>(this->Choose(this->ready.size()));
      const std::function<void()> run = std::move(*event);
      this->ready.erase(event);
      run();
    }
  }
  Configuration contents() const { return ParseConfiguration(this->value); }

 private:
  std::size_t Choose(std::size_t count) {
    if (this->choices.empty()) {
      return 0;
    }
    const std::size_t choice = this->choices.back();
    this->choices.pop_back();
    return choice % count;
  }
  void Get(const std::function<void(GetResult)>& done) {
    GetResult result{.status = PlatformStatus::kOk,
                     .entry = {.value = this->value, .version = this->version}};
    this->ready.emplace_back([done, result] { done(result); });
  }
  WriteResult Apply(const PutCall& put) {
    if (put.expect_version != this->version &&
        this->defect != Defect::kIgnoresVersion) {
      return {.status = PlatformStatus::kConflict};
    }
    this->value = put.value;
    return {.status = PlatformStatus::kOk, .version = ++this->version};
  }
  void Put(const PutCall& put,
           std::function<void(WriteResult)> done,
           int& losses) {
    auto delivery = static_cast<WriteDelivery>(this->Choose(4));
    if (losses == kMaxLossesPerOperator) {
      delivery = WriteDelivery::kAnswered;
    }
    losses += delivery == WriteDelivery::kAnswered ? 0 : 1;
    const WriteResult unknown{.status = this->defect ==
                                                Defect::kReportsUnknownAsFailed
                                            ? PlatformStatus::kUnavailable
                                            : PlatformStatus::kUnknown};
    if (delivery == WriteDelivery::kDelayed) {
      this->ready.emplace_back([done, unknown] { done(unknown); });
      this->ready.emplace_back([this, put] { this->Apply(put); });
      return;
    }
    this->ready.emplace_back([this, put, done, delivery, unknown] {
      const WriteResult answer =
          delivery == WriteDelivery::kRequestLost ? unknown : this->Apply(put);
      this->ready.emplace_back([done, delivery, answer, unknown] {
        done(delivery == WriteDelivery::kAnswered ? answer : unknown);
      });
    });
  }

  std::vector<std::size_t> choices;
  Defect defect;
  std::vector<std::function<void()>> ready;
  std::string value;
  std::uint64_t version = 1;
};

// An operator who performs one edit.
struct Operator {
  Operator(SimulatedStore& simulated_store,
           const std::string& name,
           ConfigurationEdit edit)
      : editor(simulated_store.HooksFor(name), 1) {
    this->editor.Edit(std::move(edit), [this](const EditResult& answer) {
      RC_ASSERT(!this->result);
      this->result = answer;
    });
  }
  bool succeeded() const { return !this->result->error; }

  ConfigurationEditor editor;
  std::optional<EditResult> result;
};

std::vector<std::size_t> Choices() {
  return *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, 1000));
}

std::string PlanIdOf(const std::string& intent) {
  return ComputePlanId(kBase, FindIntent(BaseConfiguration(), intent));
}

bool Confirmed(const Configuration& configuration, const std::string& intent) {
  return FindIntent(configuration, intent).confirmation.has_value();
}

// Two operators confirm plans on the same base revision.
void OneOfTwoTakesEffect(Defect defect) {
  SimulatedStore simulated_store(Choices(), defect);
  const Operator north(simulated_store, "n",
                       ConfirmPlanEdit(PlanIdOf("out-north")));
  const Operator south(simulated_store, "s",
                       ConfirmPlanEdit(PlanIdOf("out-south")));
  simulated_store.Run();
  RC_ASSERT(north.result && south.result);
  const Configuration contents = simulated_store.contents();
  RC_ASSERT(north.succeeded() == Confirmed(contents, "out-north"));
  RC_ASSERT(south.succeeded() == Confirmed(contents, "out-south"));
  RC_ASSERT(north.succeeded() != south.succeeded());
  RC_ASSERT(contents.domains.at("north").in_service !=
            contents.domains.at("south").in_service);
  RC_ASSERT(contents.revision == kBase + 1);
  const EditResult& lost = north.succeeded() ? *south.result : *north.result;
  RC_ASSERT(*lost.error == ErrorKind::kConflict);
  RC_ASSERT(lost.configuration->revision == kBase + 1);
}

// Two hosts confirm the same plan, while others add and withdraw intents.
void ReportedOutcomesAreCorrect(Defect defect) {
  SimulatedStore simulated_store(Choices(), defect);
  Intent other;
  other.id = "other";
  other.author = "third";
  other.domains.emplace("south", DomainAction::kServe);
  const Operator first(simulated_store, "a",
                       ConfirmPlanEdit(PlanIdOf("out-north")));
  const Operator second(simulated_store, "b",
                        ConfirmPlanEdit(PlanIdOf("out-north")));
  const Operator creator(simulated_store, "c", CreateIntentEdit(other));
  const Operator withdrawer(simulated_store, "d",
                            WithdrawIntentEdit("out-south"));
  simulated_store.Run();
  const Configuration contents = simulated_store.contents();
  const bool confirmed = Confirmed(contents, "out-north");
  RC_ASSERT(first.succeeded() == confirmed);
  RC_ASSERT(second.succeeded() == confirmed);
  RC_ASSERT((first.result->changed != second.result->changed) == confirmed);
  RC_ASSERT(contents.domains.at("north").in_service != confirmed);
  RC_ASSERT(creator.succeeded() && creator.result->changed);
  RC_ASSERT(withdrawer.succeeded() && withdrawer.result->changed);
  RC_ASSERT(contents.intents.contains("other"));
  RC_ASSERT(!contents.intents.contains("out-south"));
  RC_ASSERT(contents.revision == kBase + (confirmed ? 3 : 2));
}

std::string Check(void (*property)(Defect), Defect defect) {
  return test::CounterExample(kSeed, [=] { property(defect); });
}

// Hooks over a store without other writers.
struct SingleWriterStore {
  EditorHooks Hooks() {
    return {.get =
                [this](std::string_view, std::function<void(GetResult)> done) {
                  done({.status = this->read,
                        .error = "down",
                        .entry = {.value = this->value, .version = 1}});
                },
            .put =
                [this](const PutCall&, std::function<void(WriteResult)> done) {
                  ++this->writes;
                  done({.status = this->write, .error = "down"});
                },
            .schedule = [](std::chrono::milliseconds,
                           std::function<void()> run) { run(); },
            .nonce = [] { return "nonce"; },
            .revision = [] { return kBase; },
            .written = [](const DocumentMessage&) {}};
  }
  EditResult Confirm(const std::string& plan) {
    EditResult result;
    ConfigurationEditor(this->Hooks(), 1)
        .Edit(ConfirmPlanEdit(plan),
              [&result](const EditResult& answer) { result = answer; });
    return result;
  }

  std::string value = SerializeConfiguration(BaseConfiguration());
  PlatformStatus read = PlatformStatus::kOk;
  PlatformStatus write = PlatformStatus::kOk;
  int writes = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_editor_test)

// Guards against two conflicting plans that both take effect, and against an
// operator who receives the wrong outcome after a lost reply.
BOOST_AUTO_TEST_CASE(RacingOperators) {
  BOOST_TEST(Check(OneOfTwoTakesEffect, Defect::kNone) == "");
}

// Guards against a second confirmation that changes something, and against
// later writes that hide the outcome of one whose reply was lost.
BOOST_AUTO_TEST_CASE(ConfirmingTwiceWithOtherWriters) {
  BOOST_TEST(Check(ReportedOutcomesAreCorrect, Defect::kNone) == "");
}

// Guards against race properties that also hold for a defective editor.
BOOST_AUTO_TEST_CASE(RacePropertiesDetectDefects) {
  for (const Defect defect :
       {Defect::kReportsUnknownAsFailed, Defect::kIgnoresVersion}) {
    BOOST_TEST(Check(OneOfTwoTakesEffect, defect) != "");
    BOOST_TEST(Check(ReportedOutcomesAreCorrect, defect) != "");
  }
}

// Guards against a failure that is reported as the wrong kind or that writes
// although it must not.
BOOST_AUTO_TEST_CASE(FailuresOfTheStore) {
  struct Case {
    PlatformStatus read;
    PlatformStatus write;
    std::string value;
    ErrorKind expected;
    bool writes;
  };
  using P = PlatformStatus;
  using E = ErrorKind;
  const std::string good = SerializeConfiguration(BaseConfiguration());
  const std::string old = test::SmallDocument(kBase - 1);
  const Case cases[] = {
      {P::kUnavailable, P::kOk, good, E::kPlatformUnavailable, false},
      {P::kNotFound, P::kOk, good, E::kConflict, false},
      {P::kOk, P::kOk, "{}", E::kConflict, false},
      {P::kOk, P::kOk, old, E::kConflict, false},
      {P::kOk, P::kUnavailable, good, E::kPlatformUnavailable, true},
      {P::kOk, P::kRejected, good, E::kProtocol, true},
      {P::kOk, P::kUnknown, good, E::kOutcomeUnknown, true}};
  for (const Case& row : cases) {
    SingleWriterStore store{
        .value = row.value, .read = row.read, .write = row.write};
    const EditResult result = store.Confirm(PlanIdOf("out-north"));
    BOOST_TEST((result.error == row.expected));
    BOOST_TEST((store.writes > 0) == row.writes);
  }
}

// Guards against a plan that is applied although it does not match the stored
// configuration.
BOOST_AUTO_TEST_CASE(MismatchedPlansAreRefused) {
  const Intent intent = FindIntent(BaseConfiguration(), "out-north");
  Intent changed = intent;
  changed.domains.emplace("south", DomainAction::kTakeOut);
  struct Case {
    std::string plan;
    ErrorKind expected;
  };
  const Case cases[] = {
      {ComputePlanId(kBase - 1, intent), ErrorKind::kConflict},
      {ComputePlanId(kBase, changed), ErrorKind::kConflict},
      {"absent:10:abc", ErrorKind::kNotFound}};
  for (const Case& row : cases) {
    SingleWriterStore store;
    BOOST_TEST((store.Confirm(row.plan).error == row.expected));
    BOOST_TEST(store.writes == 0);
  }
  for (const char* const id :
       {"", "x", "x:1", ":1:a", "x:y:a", "x:1:", "x:1:z"}) {
    BOOST_CHECK_THROW(ConfirmPlanEdit(id), Error);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
