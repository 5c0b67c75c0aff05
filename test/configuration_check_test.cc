#include "auburnyard/configuration_check.h"

#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "src/cli/program.h"

namespace auburnyard {

namespace {

RelayConfiguration ValidConfiguration() {
  using std::chrono::milliseconds;
  RelayConfiguration valid;
  valid.version = 7;
  valid.routes = {{.name = "r",
                   .host = "h",
                   .prefix = "/",
                   .timeout = milliseconds(100),
                   .latency_objective = milliseconds(50),
                   .services = {{.service = "s"}}}};
  valid.services = {{"s", {.max_connections = 5}}};
  valid.accounts = {{{.account = {.name = "a"}, .keys = {"key-1"}}}};
  return valid;
}

bool Has(const std::vector<ConfigurationFinding>& findings,
         FindingKind kind,
         std::string_view entry,
         std::string_view text) {
  return std::ranges::any_of(findings, [&](const auto& finding) {
    return finding.kind == kind && finding.entry == entry &&
           finding.text.find(text) != std::string::npos;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(configuration_check_test)

// Guards against findings in a configuration without faults, and against a
// fault of each kind that is not found.
BOOST_AUTO_TEST_CASE(FaultsAreFound) {
  using enum FindingKind;
  struct Case {
    std::function<void(RelayConfiguration&)> change;
    FindingKind kind;
    std::string entry;
    std::string text;
  };
  const auto route = [](auto member, auto value) {
    return [=](RelayConfiguration& c) { c.routes.front().*member = value; };
  };
  const std::chrono::milliseconds zero(0);
  const std::chrono::milliseconds high(101);
  const Case cases[] = {
      {route(&Route::host, ""), kError, "route r", "host is empty"},
      {route(&Route::prefix, "p/"), kError, "route r", "slash"},
      {route(&Route::timeout, zero), kError, "route r", "time-out is 0"},
      {route(&Route::max_attempts, 0U), kError, "route r", "no attempt"},
      {route(&Route::latency_objective, high), kContradiction, "route r",
       "101 ms is above the time-out of 100 ms"},
      {[](auto& c) { c.routes.push_back(c.routes.front()); }, kError, "route r",
       "used twice"},
      {[](auto& c) {
         c.routes.push_back(c.routes.front());
         c.routes.back().name = "later";
         c.routes.back().host = "H:80";
       },
       kUnreachable, "route later", "route r before it"},
      {[](auto& c) { c.routes.front().services.front().weight = 0; }, kError,
       "route r", "all weights"},
      {[](auto& c) { c.routes.front().shards = {"s"}; }, kContradiction,
       "route r", "gathers"},
      {[](auto& c) { c.services.clear(); }, kError, "service s", "not listed"},
      {[](auto& c) { c.services.push_back(c.services.front()); }, kError,
       "service s", "listed twice"},
      {[](auto& c) {
         c.services.push_back({"t", {}});
       },
       kUnreachable, "service t", "no route"},
      {[](auto& c) { c.services.front().second.max_connections = 0; }, kError,
       "service s", "no connection"},
      {[&](auto& c) { c.services.front().second.warm_up = high; },
       kContradiction, "service s", "without a rate"},
      {[](auto& c) {
         c.services.front().second.warm_up_requests_per_second = 3;
       },
       kContradiction, "service s", "without a warm-up"},
      {[](auto& c) { c.accounts->front().keys.clear(); }, kUnreachable,
       "account a", "no key"},
      {[](auto& c) { c.accounts->front().account.limits.rate = 2; },
       kContradiction, "account a", "burst 0"},
      {[](auto& c) { c.accounts->front().account.limits.burst = 2; },
       kContradiction, "account a", "without a rate"},
      {[](auto& c) {
         c.accounts->push_back({{.name = "b"}, {"key-1"}});
       },
       kError, "accounts", "the same key"}};
  BOOST_TEST(CheckConfiguration(ValidConfiguration(), nullptr).empty());
  for (const Case& test_case : cases) {
    RelayConfiguration changed = ValidConfiguration();
    test_case.change(changed);
    BOOST_TEST(Has(CheckConfiguration(changed, nullptr), test_case.kind,
                   test_case.entry, test_case.text),
               test_case.entry << ": " << test_case.text);
  }
}

// Guards against a change that the comparison does not show, and against a key
// in its text.
BOOST_AUTO_TEST_CASE(DifferencesAreShownWithoutKeys) {
  using enum FindingKind;
  const RelayConfiguration before = ValidConfiguration();
  RelayConfiguration after = ValidConfiguration();
  BOOST_TEST(Has(CheckConfiguration(after, &before), kError, "version",
                 "7 is not above 7"));
  after.version = 8;
  BOOST_TEST(CheckConfiguration(after, &before).empty());
  after.routes.front().priority = 3;
  after.services.front().first = "t";
  after.routes.front().services.front().service = "t";
  after.accounts->front().keys = {"key-2", "key-3"};
  after.limits.body_bytes = 1;
  const auto findings = CheckConfiguration(after, &before);
  BOOST_TEST(
      Has(findings, kDifference, "route r", "priority: \"0\" becomes \"3\""));
  BOOST_TEST(Has(findings, kDifference, "service t", "added"));
  BOOST_TEST(Has(findings, kDifference, "service s", "removed"));
  BOOST_TEST(Has(findings, kDifference, "limits", "body bytes"));
  BOOST_TEST(
      Has(findings, kDifference, "account a", "keys: 2 added, 1 revoked"));
  for (const ConfigurationFinding& finding : findings) {
    BOOST_TEST(finding.text.find("key-") == std::string::npos);
  }
}

// Guards against an exit code that does not follow the findings, and against a
// key in any output of the command.
BOOST_AUTO_TEST_CASE(CommandReportsByExitCode) {
  const std::string path =
      std::string(TEST_BINARY_DIR) + "/configuration_check.json";
  const auto run = [&path](const std::string& text,
                           std::vector<std::string> more = {}) {
    std::ofstream(path) << text;
    std::ostringstream out;
    std::ostringstream err;
    std::vector<std::string> args = {"check-configuration", path};
    args.insert(args.end(), more.begin(), more.end());
    const int code = cli::RunProgram(args, out, err);
    BOOST_TEST(out.str().find("secret") == std::string::npos);
    BOOST_TEST(err.str().find("secret") == std::string::npos);
    return std::pair(code, out.str());
  };
  const std::string head =
      R"({"version":2,"routes":[{"name":"r","host":"h","prefix":"/",)"
      R"("service":"s","timeout_ms":100}],"services":[{"name":"s",)"
      R"("max_connections":2}],"tenants":[{"name":"a","api_keys":["secret-1")";
  BOOST_TEST(run(head + "]}]}").first == 0);
  BOOST_TEST(run(head + "]}]}", {"--json"}).second.find("\"errors\"") !=
             std::string::npos);
  BOOST_TEST(run(head + "]}]}", {"--against", path}).first == 1);
  BOOST_TEST(run(head + R"(]},{"name":"b","api_keys":["secret-1"]}]})").first ==
             1);
  BOOST_TEST(run(head + "]").first == 2);
  BOOST_TEST(run(R"({"tenants":[{"name":7,"api_keys":["secret-1"]}]})").first ==
             2);
  BOOST_TEST(run("{}", {"--against", path + ".missing"}).first == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
