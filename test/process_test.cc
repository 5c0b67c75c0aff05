#include <atomic>
#include <csignal>
#include <future>
#include <set>

#include <boost/test/unit_test.hpp>

#include "src/daemon/claim_service.h"
#include "test/process_fleet.h"

namespace auburnyard {

namespace {

/// Sends portal queries one after the other from a thread and counts their
/// outcomes.
class Load {
 public:
  Load(const ProcessFleet& fleet, std::vector<std::size_t> hosts)
      : thread([this, &fleet, hosts = std::move(hosts)] {
          for (std::size_t i = 0; !this->stopped; ++i) {
            this->Send(fleet, hosts[i % hosts.size()]);
          }
        }) {}
  ~Load() { this->Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Stop() {
    this->stopped = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  std::atomic<int> complete{0};
  std::atomic<int> partial{0};
  std::atomic<int> refused{0};
  std::atomic<int> unanswered{0};

 private:
  void Send(const ProcessFleet& fleet, std::size_t host) {
    try {
      const boost::json::object answer = fleet.Portal(host);
      if (!answer.contains("outcome")) {
        ++this->refused;
      } else if (answer.at("coverage").to_number<double>() == 1.0) {
        ++this->complete;
      } else {
        ++this->partial;
      }
    } catch (const Error& error) {
      BOOST_TEST_MESSAGE("no answer: " << error.what());
      ++this->unanswered;
    }
  }

  std::atomic<bool> stopped{false};
  std::thread thread;
};

std::string MakeRequestId(const std::string& name) {
  return std::to_string(SystemWallTime().count()) + "-" + name;
}

boost::json::object Enrolment(const std::string& id, int deadline_ms) {
  return {{"service", "enrolment"},
          {"query", "enrol"},
          {"deadline_ms", deadline_ms},
          {"idempotent", false},
          {"request_id", id}};
}

std::string Intent(const std::string& id, const std::string& domain) {
  return R"({"id":")" + id + R"(","author":"a","text":"t","domains":{")" +
         domain + R"(":"take_out"}})";
}

std::string RequestPlan(const ProcessFleet& fleet,
                        std::size_t host,
                        const std::string& intent) {
  const HttpResponse plan = fleet.Operate(host, "POST", "/v1/plans",
                                          R"({"intent":")" + intent + "\"}");
  BOOST_TEST_REQUIRE(plan.status == 200, plan.body);
  return std::string(boost::json::parse(plan.body).at("id").as_string());
}

HttpResponse Confirm(const ProcessFleet& fleet,
                     std::size_t host,
                     const std::string& plan) {
  return fleet.Operate(host, "POST",
                       "/v1/plans/" + EncodePercent(plan) + "/confirm");
}

bool InForce(const ProcessFleet& fleet, std::uint64_t revision) {
  const HttpResponse response =
      CallHttp(fleet.Address(0), {.path = "/v1/status"}, fleet.kCallTimeout);
  const boost::json::value status = boost::json::parse(response.body);
  return status.at("revision").to_number<std::uint64_t>() >= revision &&
         status.at("not_confirmed").as_array().empty();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(process_test)

// Guards against unanswered queries, wrong coverage and excess work at cold
// targets when the owner of targets is killed under load.
BOOST_AUTO_TEST_CASE(KilledOwnerUnderLoad) {
  ProcessFleet fleet(22000);
  Load load(fleet, {0, 1, 2});
  BOOST_TEST(ProcessFleet::Eventually([&] { return load.complete > 50; }));
  fleet.cluster.Signal("h3", SIGKILL);
  const int before = load.complete;
  BOOST_TEST(
      ProcessFleet::Eventually([&] { return load.complete > before + 50; }));
  load.Stop();
  BOOST_TEST(load.unanswered == 0);
  BOOST_TEST(fleet.ColdViolations() == 0U);
}

// Guards against a non-idempotent request that runs twice when the host that
// holds it is stopped until its grants have expired, its caller repeats it
// elsewhere, and the host resumes.
BOOST_AUTO_TEST_CASE(FrozenHostResumesWithNonIdempotentRequest) {
  ProcessFleet fleet(22100);
  fleet.cluster.ControlTargets({{"targets", {"t0"}}, {"median_ms", 400}});
  const std::string id = MakeRequestId("frozen");
  auto first = std::async(std::launch::async, [&] {
    return fleet.Query(0, Enrolment(id, 3000)).status;
  });
  const auto started = [&] {
    return fleet.cluster.Audit(id).at("started").to_number<int>();
  };
  BOOST_TEST(ProcessFleet::Eventually([&] { return started() == 1; }));
  fleet.cluster.Signal("h0", SIGSTOP);
  for (int i = 0; i < 3; ++i) {
    fleet.Query(2, Enrolment(id, 1500));
  }
  BOOST_TEST(ProcessFleet::Eventually(
      [&] { return fleet.Portal(2).contains("outcome"); }));
  fleet.cluster.Signal("h0", SIGCONT);
  first.wait();
  fleet.Query(4, Enrolment(id, 1500));
  BOOST_TEST(
      fleet.cluster.Audit(id).at("started_repeatedly").as_array().empty());
  BOOST_TEST(started() == 1);
}

// Guards against a confirmation that is lost or reported wrongly, queries that
// fail and requests that run without a claim while the platform's service is
// down.
BOOST_AUTO_TEST_CASE(PlatformDownDuringConfirm) {
  ProcessFleet fleet(22200);
  BOOST_TEST_REQUIRE(
      fleet.Operate(0, "POST", "/v1/intents", Intent("i1", "d3")).status < 300);
  const std::string plan = RequestPlan(fleet, 0, "i1");
  fleet.cluster.ControlPlatform({{"outage", "down"}});
  const HttpResponse refused = Confirm(fleet, 0, plan);
  BOOST_TEST(refused.status == 503, refused.body);
  const std::string id = MakeRequestId("outage");
  const HttpResponse enrolment = fleet.Query(0, Enrolment(id, 1000));
  BOOST_TEST(enrolment.status == 503, enrolment.body);
  BOOST_TEST(enrolment.body.find("\"run\":\"not_run\"") != std::string::npos,
             enrolment.body);
  BOOST_TEST(fleet.cluster.Audit(id).at("records").to_number<int>() == 0);
  BOOST_TEST(fleet.Portal(1).at("outcome").as_string() == "complete");
  fleet.cluster.ControlPlatform({{"outage", "none"}});
  BOOST_TEST(ProcessFleet::Eventually(
      [&] { return Confirm(fleet, 3, plan).status == 200; }));
  BOOST_TEST(ProcessFleet::Eventually([&] { return InForce(fleet, 3); }));
}

// Guards against two conflicting plans that both take effect, and against an
// operator who receives the wrong outcome.
BOOST_AUTO_TEST_CASE(RacingOperatorsConfirmOnePlan) {
  ProcessFleet fleet(22300);
  for (const auto& [id, domain] :
       {std::pair{"i1", "d2"}, std::pair{"i2", "d3"}}) {
    BOOST_TEST_REQUIRE(
        fleet.Operate(0, "POST", "/v1/intents", Intent(id, domain)).status <
        300);
  }
  BOOST_TEST_REQUIRE(
      ProcessFleet::Eventually([&] { return InForce(fleet, 3); }));
  const std::string one = RequestPlan(fleet, 0, "i1");
  const std::string two = RequestPlan(fleet, 2, "i2");
  auto first = std::async(std::launch::async,
                          [&] { return Confirm(fleet, 0, one).status; });
  const int second = Confirm(fleet, 2, two).status;
  const std::set<int> outcomes = {first.get(), second};
  BOOST_TEST((outcomes == std::set<int>{200, 409}));
  // Confirming the winner again changes nothing more.
  const std::string winner = second == 200 ? two : one;
  BOOST_TEST(Confirm(fleet, 4, winner).status == 200);
  BOOST_TEST(ProcessFleet::Eventually([&] { return InForce(fleet, 4); }));
}

// Guards against new work in a failure domain that was taken out.
BOOST_AUTO_TEST_CASE(DomainTakenOutGetsNoNewWork) {
  ProcessFleet fleet(22400);
  Load load(fleet, {0, 1, 2});
  BOOST_TEST(ProcessFleet::Eventually([&] { return load.complete > 30; }));
  fleet.cluster.SetDomainOut("d3");
  BOOST_TEST_REQUIRE(
      ProcessFleet::Eventually([&] { return InForce(fleet, 2); }));
  const std::uint64_t before = fleet.Received("d3");
  const int answers = load.complete;
  BOOST_TEST(
      ProcessFleet::Eventually([&] { return load.complete > answers + 50; }));
  BOOST_TEST(fleet.Received("d3") == before);
  fleet.cluster.SetDomainOut("");
  BOOST_TEST(
      ProcessFleet::Eventually([&] { return fleet.Received("d3") > before; }));
  load.Stop();
  BOOST_TEST(load.unanswered == 0);
  BOOST_TEST(load.refused == 0);
  BOOST_TEST(fleet.ColdViolations() == 0U);
}

// Guards against requests that are interrupted by a graceful shutdown, while
// all hosts are replaced one by one. The load avoids the host that is replaced,
// as the balancer does.
BOOST_AUTO_TEST_CASE(EveryHostIsReplacedUnderLoad) {
  ProcessFleet fleet(22500);
  for (std::size_t host = 0; host < 6; ++host) {
    Load load(fleet, {(host + 1) % 6, (host + 2) % 6, (host + 3) % 6});
    BOOST_TEST(ProcessFleet::Eventually([&] { return load.complete > 10; }));
    auto last =
        std::async(std::launch::async, [&] { return fleet.Portal(host); });
    BOOST_TEST(fleet.cluster.StopHost(fleet.Id(host)));
    BOOST_TEST(last.get().contains("outcome"));
    fleet.cluster.RestartHost(fleet.Id(host));
    load.Stop();
    BOOST_TEST(load.unanswered == 0);
    BOOST_TEST(load.refused == 0);
  }
  BOOST_TEST(fleet.ColdViolations() == 0U);
}

// Guards against new work at a draining target, and against a target that gets
// no work after its drain has ended.
BOOST_AUTO_TEST_CASE(DrainingTargetGetsNoNewWork) {
  ProcessFleet fleet(22600);
  Load load(fleet, {0, 2, 4});
  BOOST_TEST(ProcessFleet::Eventually([&] { return load.complete > 30; }));
  fleet.cluster.ControlTargets({{"domain", "d2"}, {"draining", true}});
  // Replies to work in flight report the drain to the gates.
  int answers = load.complete;
  BOOST_TEST(
      ProcessFleet::Eventually([&] { return load.complete > answers + 20; }));
  const std::uint64_t before = fleet.Received("d2");
  answers = load.complete;
  BOOST_TEST(
      ProcessFleet::Eventually([&] { return load.complete > answers + 50; }));
  BOOST_TEST(fleet.Received("d2") == before);
  fleet.cluster.ControlTargets({{"domain", "d2"}, {"draining", false}});
  BOOST_TEST(
      ProcessFleet::Eventually([&] { return fleet.Received("d2") > before; }));
  load.Stop();
  BOOST_TEST(load.unanswered == 0);
  BOOST_TEST(load.refused == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
