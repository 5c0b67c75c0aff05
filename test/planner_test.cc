#include "auburnyard/planner.h"

#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"
#include "test/configuration_fixture.h"

namespace auburnyard {

namespace {

Intent MakeIntent(
    const std::string& id,
    std::map<std::string, DomainAction, std::less<>> domains,
    std::map<std::string, TargetAction, std::less<>> targets = {}) {
  Intent intent;
  intent.id = id;
  intent.author = "operator";
  intent.domains = std::move(domains);
  intent.targets = std::move(targets);
  return intent;
}

// Shard "a" with 30 keys in both domains, shard "b" with 10 keys in the north
// only.
PlannerInput MakeInput(const Configuration& configuration) {
  PlannerInput input;
  input.configuration = std::make_shared<const Configuration>(configuration);
  input.catalogs["seats"] = std::make_shared<const ShardMap>(
      ShardMap{.service = "seats",
               .revision = 1,
               .snapshot = "s1",
               .shards = {{"a", {0, 30}, {"north1", "south1"}},
                          {"b", {30, 40}, {"north1", "north2"}}}});
  return input;
}

PlannerInput MakeInput() {
  return MakeInput(test::SmallConfiguration(7, "n"));
}

ClassOrder ArchiveFirst() {
  return {PriorityClass::kArchive, PriorityClass::kUrgent,
          PriorityClass::kNormal};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(planner_test)

// Guards against a plan that states more capacity, replicas or coverage than
// remain, or that lists targets as moved that are not.
BOOST_AUTO_TEST_CASE(EffectsOnAService) {
  struct Case {
    Intent intent;
    std::size_t changes;
    std::size_t moved_targets;
    std::uint32_t slots_after;
    std::size_t replicas_after;
    double coverage_after;
    double moved_share;
    std::size_t shards_lost;
  };
  // The catalog names north1, north2 and south1 with 2 slots each.
  const Case cases[] = {
      {MakeIntent("serve", {{"north", DomainAction::kServe}}), 0, 0, 6, 2, 1.0,
       0.0, 0},
      {MakeIntent("south", {{"south", DomainAction::kTakeOut}}), 1, 2, 4, 1,
       1.0, 0.25, 0},
      {MakeIntent("north", {{"north", DomainAction::kTakeOut}}), 1, 2, 2, 0,
       0.75, 0.75, 1},
      {MakeIntent("leave", {}, {{"north2", TargetAction::kLeave}}), 1, 1, 4, 1,
       1.0, 0.25, 0},
      {MakeIntent("both", {{"south", DomainAction::kTakeOut}},
                  {{"south1", TargetAction::kLeave}}),
       2, 2, 4, 1, 1.0, 0.25, 0},
      {MakeIntent("back", {{"north", DomainAction::kBringBack}}), 0, 0, 6, 2,
       1.0, 0.0, 0}};
  for (const Case& row : cases) {
    BOOST_TEST_CONTEXT(row.intent.id) {
      const Plan plan = ComputePlan(MakeInput(), row.intent);
      const ServiceEffect& effect = plan.services.at("seats");
      BOOST_TEST(plan.base_revision == 7U);
      BOOST_TEST(plan.changes.size() == row.changes);
      BOOST_TEST(plan.moved_targets.size() == row.moved_targets);
      BOOST_TEST(effect.slots_before == 6U);
      BOOST_TEST(effect.slots_after == row.slots_after);
      BOOST_TEST(effect.fewest_replicas_before == 2U);
      BOOST_TEST(effect.fewest_replicas_after == row.replicas_after);
      BOOST_TEST(effect.coverage_after == row.coverage_after);
      BOOST_TEST(effect.moved_share == row.moved_share);
      BOOST_TEST(effect.shards_lost.size() == row.shards_lost);
    }
  }
}

// Guards against a returning domain whose share of the traffic is not stated.
BOOST_AUTO_TEST_CASE(BringingBackMovesTraffic) {
  Configuration configuration = test::SmallConfiguration(7, "n");
  configuration.domains.at("south").in_service = false;
  const Plan plan =
      ComputePlan(MakeInput(configuration),
                  MakeIntent("back", {{"south", DomainAction::kBringBack}}));
  BOOST_TEST(plan.changes.at(0).path == "domains.south.state");
  BOOST_TEST(plan.changes.at(0).to == "in");
  BOOST_TEST(plan.domains.at("south").slots_before == 0U);
  BOOST_TEST(plan.domains.at("south").slots_after == 4U);
  BOOST_TEST(plan.moved_share == 0.25);
}

// Guards against a forecast that sheds a class which is served before another.
BOOST_AUTO_TEST_CASE(LowestClassIsShedFirst) {
  const Intent out = MakeIntent("south", {{"south", DomainAction::kTakeOut}});
  PlannerInput input = MakeInput();
  const ServiceEffect full = ComputePlan(input, out).services.at("seats");
  BOOST_TEST(!full.load_known);
  BOOST_REQUIRE(full.shed.size() == 1U);
  BOOST_TEST(full.shed[0].share == 1.0 / 3);

  input.load["seats"] = {1, 2, 2};  // of 4 slots that remain
  const ServiceEffect known = ComputePlan(input, out).services.at("seats");
  BOOST_REQUIRE(known.shed.size() == 1U);
  BOOST_TEST((known.shed[0].priority == PriorityClass::kArchive));
  BOOST_TEST(known.shed[0].share == 0.5);

  Intent reorder = out;
  reorder.class_order = ArchiveFirst();
  const ServiceEffect other = ComputePlan(input, reorder).services.at("seats");
  BOOST_REQUIRE(other.shed.size() == 1U);
  BOOST_TEST((other.shed[0].priority == PriorityClass::kNormal));
}

// Guards against contradictory intents that a plan does not report.
BOOST_AUTO_TEST_CASE(Conflicts) {
  Intent order_a = MakeIntent("a", {});
  order_a.class_order = ArchiveFirst();
  Intent order_b = MakeIntent("b", {});
  order_b.class_order = kDefaultClassOrder;
  Intent elsewhere = order_b;
  elsewhere.services = {"other"};
  order_a.services = {"seats"};
  struct Case {
    Intent intent;
    Intent other;
    std::size_t conflicts;
  };
  using enum DomainAction;
  const Case cases[] = {
      {MakeIntent("a", {{"north", kTakeOut}}),
       MakeIntent("b", {{"north", kServe}}), 1},
      {MakeIntent("a", {{"north", kBringBack}}),
       MakeIntent("b", {{"north", kTakeOut}}), 1},
      {MakeIntent("a", {{"north", kTakeOut}}),
       MakeIntent("b", {{"south", kServe}}), 0},
      {MakeIntent("a", {{"north", kServe}}),
       MakeIntent("b", {{"north", kBringBack}}), 0},
      {MakeIntent("a", {}, {{"north1", TargetAction::kLeave}}),
       MakeIntent("b", {}, {{"north1", TargetAction::kReturn}}), 1},
      {order_a, order_b, 1},
      {order_a, elsewhere, 0}};
  for (const Case& row : cases) {
    Configuration configuration = test::SmallConfiguration(7, "n");
    configuration.services.emplace("other", ServiceConfig{});
    configuration.intents[row.other.id] = ToJson(row.other);
    const Plan plan = ComputePlan(MakeInput(configuration), row.intent);
    BOOST_TEST(plan.conflicts.size() == row.conflicts);
  }
  Configuration configuration = test::SmallConfiguration(7, "n");
  configuration.domains.at("north").in_service = false;
  BOOST_TEST(ComputePlan(MakeInput(configuration),
                         MakeIntent("a", {{"north", kServe}}))
                 .conflicts.size() == 1U);
}

// Guards against a plan that only the host that computed it can confirm, and
// against an identifier that fits another plan.
BOOST_AUTO_TEST_CASE(IdentifiersDependOnContentOnly) {
  const Intent intent = MakeIntent("a:b", {{"north", DomainAction::kTakeOut}});
  const Intent stored = ParseStoredIntent("a:b", ToJson(intent));
  BOOST_TEST(ComputePlanId(7, intent) == ComputePlanId(7, stored));
  Intent same = intent;
  same.author = "other";
  BOOST_TEST(ComputePlanId(7, intent) == ComputePlanId(7, same));
  BOOST_TEST(ComputePlanId(7, intent) != ComputePlanId(8, intent));
  Intent other = intent;
  other.domains["south"] = DomainAction::kTakeOut;
  BOOST_TEST(ComputePlanId(7, intent) != ComputePlanId(7, other));
  BOOST_TEST(ParsePlanId(ComputePlanId(7, intent)).intent == "a:b");
}

// Guards against an intent that is accepted although it names a service,
// failure domain or target that is not configured.
BOOST_AUTO_TEST_CASE(UnknownNamesAreRefused) {
  Intent service = MakeIntent("a", {{"north", DomainAction::kServe}});
  service.services = {"absent"};
  for (const Intent& intent :
       {service, MakeIntent("a", {{"absent", DomainAction::kTakeOut}}),
        MakeIntent("a", {}, {{"absent", TargetAction::kLeave}})}) {
    BOOST_CHECK_EXCEPTION(
        ComputePlan(MakeInput(), intent), Error, [](const Error& error) {
          return std::string(error.what()).find("absent") != std::string::npos;
        });
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
