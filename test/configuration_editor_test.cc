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
constexpr int kLossesPerOperator = 3;

enum class WriteFate { kAnswered, kReplyLost, kRequestLost, kLate };

// How the hooks of an operator deviate from the correct ones.
enum class Defect { kNone, kTakesSilenceForFailure, kIgnoresVersion };

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
// have generated fates.
class World {
 public:
  World(std::vector<std::size_t> generated, Defect store_defect)
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
    auto fate = static_cast<WriteFate>(this->Choose(4));
    if (losses == kLossesPerOperator) {
      fate = WriteFate::kAnswered;
    }
    losses += fate == WriteFate::kAnswered ? 0 : 1;
    const WriteResult silence{.status = this->defect ==
                                                Defect::kTakesSilenceForFailure
                                            ? PlatformStatus::kUnavailable
                                            : PlatformStatus::kUnknown};
    if (fate == WriteFate::kLate) {
      this->ready.emplace_back([done, silence] { done(silence); });
      this->ready.emplace_back([this, put] { this->Apply(put); });
      return;
    }
    this->ready.emplace_back([this, put, done, fate, silence] {
      const WriteResult answer =
          fate == WriteFate::kRequestLost ? silence : this->Apply(put);
      this->ready.emplace_back([done, fate, answer, silence] {
        done(fate == WriteFate::kAnswered ? answer : silence);
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
  Operator(World& world, const std::string& name, ConfigurationEdit edit)
      : editor(world.HooksFor(name), 1) {
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
  World world(Choices(), defect);
  const Operator north(world, "n", ConfirmPlanEdit(PlanIdOf("out-north")));
  const Operator south(world, "s", ConfirmPlanEdit(PlanIdOf("out-south")));
  world.Run();
  RC_ASSERT(north.result && south.result);
  const Configuration contents = world.contents();
  RC_ASSERT(north.succeeded() == Confirmed(contents, "out-north"));
  RC_ASSERT(south.succeeded() == Confirmed(contents, "out-south"));
  RC_ASSERT(north.succeeded() != south.succeeded());
  RC_ASSERT(contents.domains.at("north").in != contents.domains.at("south").in);
  RC_ASSERT(contents.revision == kBase + 1);
  const EditResult& lost = north.succeeded() ? *south.result : *north.result;
  RC_ASSERT(*lost.error == ErrorKind::kConflict);
  RC_ASSERT(lost.configuration->revision == kBase + 1);
}

// Two hosts confirm the same plan, while others add and withdraw intents.
void TruthIsLearned(Defect defect) {
  World world(Choices(), defect);
  Intent other;
  other.id = "other";
  other.author = "third";
  other.domains.emplace("south", DomainAction::kServe);
  const Operator first(world, "a", ConfirmPlanEdit(PlanIdOf("out-north")));
  const Operator second(world, "b", ConfirmPlanEdit(PlanIdOf("out-north")));
  const Operator creator(world, "c", CreateIntentEdit(other));
  const Operator withdrawer(world, "d", WithdrawIntentEdit("out-south"));
  world.Run();
  const Configuration contents = world.contents();
  const bool confirmed = Confirmed(contents, "out-north");
  RC_ASSERT(first.succeeded() == confirmed);
  RC_ASSERT(second.succeeded() == confirmed);
  RC_ASSERT((first.result->changed != second.result->changed) == confirmed);
  RC_ASSERT(contents.domains.at("north").in != confirmed);
  RC_ASSERT(creator.succeeded() && creator.result->changed);
  RC_ASSERT(withdrawer.succeeded() && withdrawer.result->changed);
  RC_ASSERT(contents.intents.contains("other"));
  RC_ASSERT(!contents.intents.contains("out-south"));
  RC_ASSERT(contents.revision == kBase + (confirmed ? 3 : 2));
}

std::string Check(void (*property)(Defect), Defect defect) {
  return test::CounterExample(kSeed, [=] { property(defect); });
}

// Hooks over contents that no one else changes.
struct QuietStore {
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
// operator who is told the wrong outcome after a lost reply.
BOOST_AUTO_TEST_CASE(RacingOperators) {
  BOOST_TEST(Check(OneOfTwoTakesEffect, Defect::kNone) == "");
}

// Guards against a second confirmation that changes something, and against
// later writes that hide the outcome of one whose reply was lost.
BOOST_AUTO_TEST_CASE(ConfirmingTwiceWithOtherWriters) {
  BOOST_TEST(Check(TruthIsLearned, Defect::kNone) == "");
}

// Guards against properties that hold for any editor.
BOOST_AUTO_TEST_CASE(RacePropertiesDetectDefects) {
  for (const Defect defect :
       {Defect::kTakesSilenceForFailure, Defect::kIgnoresVersion}) {
    BOOST_TEST(Check(OneOfTwoTakesEffect, defect) != "");
    BOOST_TEST(Check(TruthIsLearned, defect) != "");
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
    QuietStore store{.value = row.value, .read = row.read, .write = row.write};
    const EditResult result = store.Confirm(PlanIdOf("out-north"));
    BOOST_TEST((result.error == row.expected));
    BOOST_TEST((store.writes > 0) == row.writes);
  }
}

// Guards against a plan that is applied although it does not fit.
BOOST_AUTO_TEST_CASE(PlansThatDoNotFit) {
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
    QuietStore store;
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
