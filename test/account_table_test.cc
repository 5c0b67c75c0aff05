#include "auburnyard/account_table.h"

#include <boost/test/unit_test.hpp>

#include "auburnyard/error.h"
#include "auburnyard/request_priority.h"

namespace auburnyard {

namespace {

AccountWithKeys Account(std::string name, std::vector<std::string> keys) {
  AccountWithKeys account;
  account.account.name = std::move(name);
  account.keys = std::move(keys);
  return account;
}

// Message of the error for accounts that must be rejected; empty if they are
// accepted.
std::string ErrorFor(std::vector<AccountWithKeys> accounts) {
  try {
    const AccountTable table(std::move(accounts));
  } catch (const Error& error) {
    return error.what();
  }
  return {};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(account_table_test)

// Guards against requests that run for another account or without one.
BOOST_AUTO_TEST_CASE(KeysIdentifyTheirAccount) {
  const AccountTable table(
      {Account("a", {"key-1", "key-2"}), Account("b", {"key-3"})});
  for (const std::string key : {"key-1", "key-2"}) {
    BOOST_REQUIRE(table.FindByKey(key) != nullptr);
    BOOST_TEST(table.FindByKey(key)->name == "a");
  }
  BOOST_REQUIRE(table.FindByKey("key-3") != nullptr);
  BOOST_TEST(table.FindByKey("key-3")->name == "b");
  for (const std::string key : {"", "key", "key-10", "KEY-1", "a", " key-1"}) {
    BOOST_TEST((table.FindByKey(key) == nullptr), key);
  }
  BOOST_TEST((table.FindByName("b") == table.FindByKey("key-3")));
  BOOST_TEST((table.FindByName("key-3") == nullptr));
}

// Guards against a key that identifies either of two accounts, and against
// errors that reveal it.
BOOST_AUTO_TEST_CASE(AmbiguousAccountsAreRejectedWithoutTheirKeys) {
  const std::string same =
      ErrorFor({Account("a", {"secret"}), Account("b", {"secret"})});
  BOOST_TEST(same.find("a and b") != std::string::npos, same);
  BOOST_TEST(same.find("secret") == std::string::npos, same);
  BOOST_TEST(!ErrorFor({Account("a", {""})}).empty());
  BOOST_TEST(!ErrorFor({Account("", {"secret"})}).empty());
  BOOST_TEST(!ErrorFor({Account("a", {}), Account("a", {})}).empty());
  BOOST_TEST(ErrorFor({Account("a", {"secret", "secret"})}).empty());
}

// Guards against an urgent route that overtakes a more urgent account.
BOOST_AUTO_TEST_CASE(AccountPriorityPrecedesThatOfTheRoute) {
  const auto priority = [](std::uint32_t of_route,
                           std::optional<std::uint32_t> of_account) {
    Route route;
    route.priority = of_route;
    ClientAccount account;
    account.priority = of_account;
    return RequestPriority(route, &account);
  };
  BOOST_TEST(priority(5, 0) < priority(0, 1));
  BOOST_TEST(priority(0, 1) < priority(1, 1));
  BOOST_TEST(priority(1, std::nullopt) < priority(2, std::nullopt));
  BOOST_TEST(priority(7, 100'000) >= priority(7, 65'535));
}

// Guards against requests that are refused below the limit of a window, and
// against more of them than the limit.
BOOST_AUTO_TEST_CASE(SpreadBurstAdmitsTheSameInAWindow) {
  constexpr std::chrono::seconds kWindow{5};
  for (const AccountLimits& limits : {AccountLimits{.rate = 22, .burst = 22},
                                      AccountLimits{.rate = 1, .burst = 1},
                                      AccountLimits{.rate = 3, .burst = 0},
                                      AccountLimits{.rate = 8, .burst = 200}}) {
    const AccountLimits spread = SpreadBurst(limits, kWindow);
    BOOST_TEST(spread.rate >= limits.rate);
    BOOST_TEST(spread.burst >= std::min(limits.burst, 4.0));
    BOOST_TEST(spread.rate * 5 + spread.burst == limits.rate * 5 + limits.burst,
               boost::test_tools::tolerance(1e-9));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
