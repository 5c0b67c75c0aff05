#include "auburnyard/memory_budget.h"

#include <array>
#include <memory>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "test/property.h"

namespace auburnyard {

namespace {

class BudgetFixture {
 public:
  explicit BudgetFixture(std::size_t limit)
      : budget(limit,
               {.schedule_reclaim = [this] { ++this->scheduled; },
                .on_evicted =
                    [this](const MemoryBudget::Eviction& eviction) {
                      this->evicted.emplace_back(eviction.name);
                    }}) {}

  // An exchange that releases its bytes when it is ended.
  MemoryCharge& Add(const void* source,
                    const std::string& name,
                    std::size_t bytes) {
    auto charge = std::make_unique<MemoryCharge*>();
    MemoryCharge** self = charge.get();
    this->handles.push_back(std::move(charge));
    this->charges.push_back(std::make_unique<MemoryCharge>(
        &this->budget, source, "test", name, [self] { (*self)->Set(0); }));
    *self = this->charges.back().get();
    (*self)->Set(bytes);
    return **self;
  }

  MemoryBudget budget;
  int scheduled = 0;
  std::vector<std::string> evicted;
  std::vector<std::unique_ptr<MemoryCharge*>> handles;
  std::vector<std::unique_ptr<MemoryCharge>> charges;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(memory_budget_test)

// Guards against ending a sound exchange in place of those of a source that
// sends without end on several connections.
BOOST_AUTO_TEST_CASE(LargestSourceIsEndedFirst) {
  BudgetFixture fixture(100);
  const int faulty = 0;
  const int sound = 0;
  fixture.Add(&sound, "large", 40);
  fixture.Add(&faulty, "small", 20);
  BOOST_TEST(fixture.scheduled == 0);
  fixture.Add(&faulty, "larger", 30);
  fixture.Add(&faulty, "grows", 1).Set(15);
  BOOST_TEST(fixture.scheduled == 1);
  fixture.budget.Reclaim();
  BOOST_TEST(fixture.evicted == std::vector<std::string>{"larger"},
             boost::test_tools::per_element());
  BOOST_TEST(fixture.budget.used() == 75U);
}

// Guards against an endless loop, and against ending other exchanges for one
// that cannot be ended, forgotten bytes, and a limit that is not lowered.
BOOST_AUTO_TEST_CASE(LimitHoldsForWhatCanBeEnded) {
  BudgetFixture fixture(100);
  const int caller = 0;
  const int target = 0;
  fixture.Add(&caller, "held", 90).SetEvictable(false);
  fixture.Add(&target, "reply", 20);
  fixture.budget.Reclaim();
  BOOST_TEST(fixture.evicted.size() == 1U);
  fixture.budget.SetLimit(50);
  fixture.budget.Reclaim();
  BOOST_TEST(fixture.evicted.size() == 1U);
  BOOST_TEST(fixture.budget.used() == 90U);
  fixture.charges.clear();
  BOOST_TEST(fixture.budget.used() == 0U);
}

// Guards against more than the limit after a reclaim, and against wrong sums,
// in any order of changes.
BOOST_AUTO_TEST_CASE(UseStaysWithinTheLimit) {
  const auto property = [] {
    constexpr std::size_t kLimit = 1'000;
    BudgetFixture fixture(kLimit);
    const std::array<int, 3> sources{};
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
      const int choice = *rc::gen::inRange(0, 3);
      if (choice == 0 || fixture.charges.empty()) {
        fixture.Add(&sources.at(*rc::gen::inRange<std::size_t>(0, 3)),
                    std::to_string(i), *rc::gen::inRange<std::size_t>(0, 400));
      } else if (choice == 1) {
        fixture.charges
            .at(*rc::gen::inRange<std::size_t>(0, fixture.charges.size()))
            ->Set(*rc::gen::inRange<std::size_t>(0, 700));
      } else {
        fixture.charges.pop_back();
      }
      const bool over = fixture.budget.used() > kLimit;
      const std::size_t before = fixture.evicted.size();
      if (over) {
        fixture.budget.Reclaim();
      }
      RC_ASSERT(fixture.budget.used() <= kLimit);
      RC_ASSERT((fixture.evicted.size() > before) == over);
    }
    fixture.charges.clear();
    RC_ASSERT(fixture.budget.used() == 0U);
  };
  BOOST_TEST(test::CounterExample(20261207, property) == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
