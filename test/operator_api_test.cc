#include "src/daemon/operator_api.h"

#include <sstream>

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "src/cli/print.h"
#include "test/configuration_fixture.h"

namespace auburnyard {

namespace {

const std::string kKey = "operator-key-0123456789";
const std::string kIntent =
    R"({"id": "out", "author": "amy", "domains": {"north": "take_out"}})";

// The operator API over an in-memory store that answers immediately.
struct Fixture {
  Fixture() {
    this->clock.Pause();
    this->value = test::SmallDocument(5);
    this->Publish();
  }
  void Publish() {
    this->store.Offer(kConfigurationKey, this->value);
    this->configuration_age.SetRevision(
        this->store.RevisionOf(kConfigurationKey));
    this->configuration_age.Confirm(this->configuration_age.revision(),
                                    this->clock.Now());
  }
  EditorHooks Hooks() {
    return {
        .get =
            [this](std::string_view, std::function<void(GetResult)> done) {
              done({.status = PlatformStatus::kOk,
                    .entry = {.value = this->value, .version = this->version}});
            },
        .put =
            [this](const PutCall& put, std::function<void(WriteResult)> done) {
              this->value = put.value;
              done({.status = PlatformStatus::kOk, .version = ++this->version});
            },
        .schedule = [](std::chrono::milliseconds,
                       std::function<void()> run) { run(); },
        .nonce = [] { return "nonce"; },
        .revision =
            [this] { return this->store.RevisionOf(kConfigurationKey); },
        .written = [this](const DocumentMessage&) { this->Publish(); }};
  }
  HttpResponse Call(const std::string& method,
                    const std::string& path,
                    const std::string& body = "",
                    const std::string& authorization = "Bearer " + kKey) {
    HttpRequest request{.method = method, .path = path, .body = body};
    request.headers.emplace_back("Authorization", authorization);
    HttpResponse response{.status = 0};
    const bool handled = this->api->Handle(
        request, [&response](HttpResponse reply) { response = reply; });
    BOOST_TEST(handled == (response.status != 0));
    return response;
  }
  boost::json::object Ok(const std::string& method,
                         const std::string& path,
                         const std::string& body = "") {
    const HttpResponse response = this->Call(method, path, body);
    BOOST_TEST(response.status == 200, response.body);
    return boost::json::parse(response.body).as_object();
  }

  Clock clock;
  ConfigurationStore store;
  ConfigurationAge configuration_age;
  std::string value;
  std::uint64_t version = 1;
  ConfigurationEditor editor{this->Hooks(), 1};
  std::vector<HostStatus> hosts;
  RestrictionTable restrictions;
  std::shared_ptr<OperatorApi> api = std::make_shared<OperatorApi>(
      OperatorApiParts{.operator_key = kKey,
                       .store = &this->store,
                       .configuration_age = &this->configuration_age,
                       .clock = &this->clock,
                       .editor = &this->editor,
                       .hosts = [this] { return this->hosts; },
                       .restrictions = &this->restrictions});
};

}  // namespace

BOOST_AUTO_TEST_SUITE(operator_api_test)

// Guards against a break anywhere on the way from an intent to its plan in
// force, and against a second confirmation that changes something.
BOOST_AUTO_TEST_CASE(IntentPlanConfirm) {
  Fixture fixture;
  BOOST_TEST(fixture.Ok("POST", "/v1/intents", kIntent).at("revision") == 6);
  BOOST_TEST(fixture.Ok("POST", "/v1/intents", kIntent).at("changed") == false);
  const boost::json::object plan =
      fixture.Ok("POST", "/v1/plans", R"({"intent": "out"})");
  const std::string id = cli::FormatValue(plan.at("id"));
  BOOST_TEST(fixture.Ok("GET", "/v1/plans/" + id).at("base_revision") == 6);
  BOOST_TEST(fixture.Ok("GET", "/v1/plans").at("plans").as_array().size() ==
             1U);
  const std::string path = "/v1/plans/" + EncodePercent(id) + "/confirm";
  BOOST_TEST(fixture.Ok("POST", path).at("changed") == true);
  const boost::json::object again = fixture.Ok("POST", path);
  BOOST_TEST(again.at("changed") == false);
  BOOST_TEST(again.at("confirmed_revision") == 7);
  BOOST_TEST(!fixture.store.configuration()->domains.at("north").in_service);
  BOOST_TEST(fixture.Ok("GET", "/v1/intents/out").contains("confirmation"));
  BOOST_TEST(fixture.Ok("DELETE", "/v1/intents/out").at("revision") == 8);
}

// Guards against a stale plan that is refused without returning the plan for
// the current revision.
BOOST_AUTO_TEST_CASE(StalePlanReturnsCurrentPlan) {
  Fixture fixture;
  fixture.Ok("POST", "/v1/intents", kIntent);
  const std::string id = cli::FormatValue(
      fixture.Ok("POST", "/v1/plans", R"({"intent": "out"})").at("id"));
  fixture.Ok("POST", "/v1/intents",
             R"({"id": "b", "author": "bob", "domains": {"south": "serve"}})");
  const HttpResponse response =
      fixture.Call("POST", "/v1/plans/" + id + "/confirm");
  BOOST_TEST(response.status == 409);
  const auto problem = boost::json::parse(response.body).as_object();
  BOOST_TEST(problem.at("kind") == "conflict");
  BOOST_TEST(problem.at("plan").at("base_revision") == 7);
  std::ostringstream text;
  cli::PrintPlan(problem.at("plan").as_object(), text);
  BOOST_TEST(text.str().find("domains.north.state: in -> out") !=
             std::string::npos);
}

// Guards against bad input that is accepted, that changes something, or whose
// error does not name the fault.
BOOST_AUTO_TEST_CASE(BadInputChangesNothing) {
  struct Case {
    std::string method;
    std::string path;
    std::string body;
    int status;
    std::string detail;
  };
  const std::string intents = "/v1/intents";
  const Case cases[] = {
      {"POST", intents, "", 400, "invalid JSON"},
      {"POST", intents, "{", 400, "line 1"},
      {"POST", intents, "[]", 400, "expected an object"},
      {"POST", intents, R"({"author": "a"})", 400, "id: required"},
      {"POST", intents, R"({"id": "a/b", "author": "a"})", 400, "id:"},
      {"POST", intents, R"({"id": "a", "author": ""})", 400, "author"},
      {"POST", intents, R"({"id": "a", "author": "a"})", 400, "domains"},
      {"POST", intents, R"({"id": "a", "author": "a", "x": 1})", 400, "x:"},
      {"POST", intents,
       R"({"id": "a", "author": "a", "domains": {"north": "up"}})", 400,
       "domains.north: expected one of \\\"serve\\\""},
      {"POST", intents,
       R"({"id": "a", "author": "a", "domains": {"east": "serve"}})", 400,
       "domains.east: not configured"},
      {"POST", intents,
       R"({"id": "a", "author": "a", "targets": {"x": "leave"}})", 400,
       "targets.x: not configured"},
      {"POST", intents,
       R"({"id": "a", "author": "a", "class_order": ["urgent", "urgent"]})",
       400, "each priority class once"},
      {"POST", intents,
       R"({"id": "a", "author": "a", "class_order": ["late"]})", 400, "class"},
      {"POST", intents,
       R"({"id": "out", "author": "eve", "domains": {"south": "serve"}})", 409,
       "exists with other contents"},
      {"PUT", intents, "", 405, "PUT"},
      {"GET", intents + "/absent", "", 404, "absent"},
      {"DELETE", intents + "/absent", "", 404, "absent"},
      {"DELETE", intents, "", 405, "DELETE"},
      {"GET", intents + "/a/b", "", 404, "no such resource"},
      {"POST", "/v1/plans", "{}", 400, "intent: required"},
      {"POST", "/v1/plans", R"({"intent": "absent"})", 404, "absent"},
      {"GET", "/v1/plans/x", "", 400, "not a plan identifier"},
      {"POST", "/v1/plans/x/confirm", "", 400, "not a plan identifier"},
      {"POST", "/v1/plans/absent:5:1/confirm", "", 404, "absent"},
      {"GET", "/v1/plans/out:6:1/confirm", "", 405, "GET"},
      {"POST", "/v1/plans/out:6:1/other", "", 404, "no such resource"},
      {"POST", "/v1/plans/out:6:1/confirm", "", 409, "does not match"},
      {"POST", "/v1/status", "", 405, "POST"}};
  Fixture fixture;
  fixture.Ok("POST", intents, kIntent);
  const std::string before = fixture.value;
  for (const Case& row : cases) {
    BOOST_TEST_CONTEXT(row.method << ' ' << row.path << ' ' << row.body) {
      const HttpResponse response =
          fixture.Call(row.method, row.path, row.body);
      BOOST_TEST(response.status == row.status);
      BOOST_TEST(response.content_type == "application/problem+json");
      BOOST_TEST(response.body.find(row.detail) != std::string::npos,
                 response.body);
      BOOST_TEST(fixture.value == before);
    }
  }
  BOOST_TEST(fixture.Call("GET", "/v1/query").status == 0);
  BOOST_TEST(fixture.Call("GET", "/metrics").status == 0);
}

// Guards against access without the key.
BOOST_AUTO_TEST_CASE(KeyIsRequired) {
  Fixture fixture;
  for (const std::string& sent :
       {std::string(), "Bearer " + kKey + "x", "Bearer " + kKey.substr(1),
        "Basic " + kKey, std::string("Bearer "), kKey}) {
    const HttpResponse response =
        fixture.Call("POST", "/v1/intents", kIntent, sent);
    BOOST_TEST(response.status == 401);
    BOOST_TEST(response.Header("WWW-Authenticate") == "Bearer");
  }
  BOOST_TEST(fixture.version == 1U);
  BOOST_TEST(fixture.Call("GET", "/v1/intents", "", "bearer " + kKey).status ==
             200);
  BOOST_TEST(fixture.Call("GET", "/v1/status", "", "").status == 200);
}

// Guards against a host that confirms plans on a stale configuration.
BOOST_AUTO_TEST_CASE(StaleHostConfirmsNothing) {
  Fixture fixture;
  fixture.Ok("POST", "/v1/intents", kIntent);
  const std::string id = cli::FormatValue(
      fixture.Ok("POST", "/v1/plans", R"({"intent": "out"})").at("id"));
  fixture.clock.Advance(std::chrono::seconds(4));
  const HttpResponse response =
      fixture.Call("POST", "/v1/plans/" + id + "/confirm");
  BOOST_TEST(response.status == 503);
  BOOST_TEST(fixture.store.configuration()->domains.at("north").in_service);
}

// Guards against a restriction in place of an intent, for an unknown domain or
// without an end.
BOOST_AUTO_TEST_CASE(RestrictionsOnlyWhileStale) {
  Fixture fixture;
  const std::string path = "/v1/restrictions";
  const std::string good =
      R"({"id": "r", "author": "amy", "domain": "north", "expires_ms": 5000})";
  BOOST_TEST(fixture.Call("POST", path, good).status == 409);
  fixture.clock.Advance(std::chrono::seconds(4));
  for (const char* const bad :
       {"{}", R"({"id": "r", "author": "a", "domain": "north"})",
        R"({"id": "r", "author": "a", "domain": "east", "expires_ms": 1})",
        R"({"id": "", "author": "a", "domain": "north", "expires_ms": 1})",
        R"({"id": "r", "author": "", "domain": "north", "expires_ms": 1})"}) {
    BOOST_TEST(fixture.Call("POST", path, bad).status == 400);
  }
  BOOST_TEST(!fixture.restrictions.Forbids("north", fixture.clock.Now()));
  BOOST_TEST(fixture.Ok("POST", path, good).at("base_revision") == 5);
  BOOST_TEST(fixture.restrictions.Forbids("north", fixture.clock.Now()));
  BOOST_TEST(fixture.Ok("GET", path).at("restrictions").as_array().size() ==
             1U);
}

// Guards against a status that hides the hosts that do not have the newest
// revision.
BOOST_AUTO_TEST_CASE(StatusNamesHostsThatHaveNotConfirmed) {
  using std::chrono::milliseconds;
  Fixture fixture;
  fixture.hosts = {{"h1", "north", 5, milliseconds(200)},
                   {"h2", "north", 4, milliseconds(200)},
                   {"h3", "south", 5, milliseconds(3001)},
                   {"h4", "south", 0, std::nullopt}};
  const boost::json::object status = fixture.Ok("GET", "/v1/status");
  BOOST_TEST(status.at("revision") == 5);
  BOOST_TEST(cli::JoinNames(status.at("not_confirmed")) == "h2, h4");
  BOOST_TEST(cli::JoinNames(status.at("stale_hosts")) == "h3, h4");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
