#include "auburnyard/claims.h"

#include <set>

#include <boost/test/unit_test.hpp>

#include "auburnyard/claim_sweeper.h"

namespace auburnyard {

namespace {

constexpr WallTime kWall{1'800'000'000'000};
constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr std::chrono::milliseconds kDeadline{500};

ClaimOptions Options() {
  return {.host = "h1", .start_nonce = "n1"};
}

std::string IdentifierAt(WallTime issued, const std::string& unique = "a") {
  return std::to_string(issued.count()) + "-" + unique;
}

template <typename Action>
const Action& Only(const std::vector<ClaimAction>& actions) {
  BOOST_REQUIRE(actions.size() == 1U);
  BOOST_REQUIRE(std::holds_alternative<Action>(actions[0]));
  return std::get<Action>(actions[0]);
}

template <typename Verdict>
Verdict VerdictOf(const std::vector<ClaimAction>& actions) {
  const ClaimVerdict& verdict = Only<ResolveClaim>(actions).verdict;
  BOOST_REQUIRE(std::holds_alternative<Verdict>(verdict));
  return std::get<Verdict>(verdict);
}

// A table that has read an empty key and waits for the reply to its write.
struct WritingTable {
  ClaimTable table{Options()};
  std::string id = IdentifierAt(kWall);
  WriteClaims write;

  WritingTable() {
    const auto read = Only<ReadClaims>(
        this->table.Claim(1, this->id, kNow + kDeadline, kWall, kNow));
    this->write = Only<WriteClaims>(this->table.OnRead(
        read.key, read.operation, {.status = StoreStatus::kOk}, kNow));
  }

  std::vector<ClaimAction> Written(StoreReply reply, TimePoint now) {
    return this->table.OnWritten(this->write.key, this->write.operation, reply,
                                 now);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(claims_test)

// Guards against identifiers that are accepted after their claims were deleted,
// and against "not run" for one that another host may have accepted.
BOOST_AUTO_TEST_CASE(IdentifierAgeAndForm) {
  const auto check = [](WallTime issued) {
    return CheckClaimIdentifier(IdentifierAt(issued), kWall);
  };
  BOOST_TEST(!check(kWall));
  BOOST_TEST(!check(kWall - kClaimRetention));
  const auto too_old = check(kWall - kClaimRetention - WallTime(1));
  BOOST_REQUIRE(too_old.has_value());
  BOOST_TEST((too_old->kind == ErrorKind::kRequestTooOld));
  BOOST_TEST((too_old->run == RunState::kUnknown));
  BOOST_TEST(!check(kWall + kMaxIdentifierLead));
  const auto early = check(kWall + kMaxIdentifierLead + WallTime(1));
  BOOST_REQUIRE(early.has_value());
  BOOST_TEST((early->run == RunState::kUnknown));
  const auto future = check(kWall + kMaxIdentifierLead + std::chrono::hours(1));
  BOOST_REQUIRE(future.has_value());
  BOOST_TEST((future->run == RunState::kNotRun));
  for (const char* id : {"", "-a", "12", "12-", "012-a", "1x-a", "12-a b",
                         "12-\"", "9999999999999999-a", "+1-a"}) {
    BOOST_TEST(!ParseClaimIdentifier(id), id);
  }
}

// Guards against a dispatch after a write that may not have taken effect, and
// against a second grant to the same submission.
BOOST_AUTO_TEST_CASE(LostReplyIsReadBack) {
  WritingTable writing;
  ClaimTable& table = writing.table;
  BOOST_TEST(writing.Written({.status = StoreStatus::kUnknown}, kNow).empty());
  const TimePoint later = kNow + std::chrono::milliseconds(50);
  const auto read = Only<ReadClaims>(table.OnTimer(later));
  const auto grant = VerdictOf<ClaimGranted>(
      table.OnRead(read.key, read.operation,
                   {StoreStatus::kOk, 1, writing.write.value}, later));
  BOOST_TEST(MayDispatch(grant, later));
  BOOST_TEST(!MayDispatch(grant, kNow + kDeadline));
  // The late reply to the first write must not grant a second time.
  BOOST_TEST(writing.Written({StoreStatus::kOk, 1, ""}, later).empty());
}

// Guards against a claim that is granted by the late reply to an earlier write
// that did not contain it.
BOOST_AUTO_TEST_CASE(LateReplyBelongsToItsWrite) {
  WritingTable writing;
  ClaimTable& table = writing.table;
  TimePoint now = kNow + std::chrono::milliseconds(400);
  std::string other;
  for (int i = 0; other.empty() || ClaimKeyOf(other) != writing.write.key;
       ++i) {
    other = IdentifierAt(kWall, std::to_string(i));
  }
  BOOST_TEST(
      table.Claim(2, other, now + std::chrono::seconds(9), kWall, now).empty());
  now = kNow + std::chrono::milliseconds(1020);  // past the store's time-out
  table.OnTimer(now);
  now += std::chrono::milliseconds(20);
  const auto read = Only<ReadClaims>(table.OnTimer(now));
  const auto second = Only<WriteClaims>(table.OnRead(
      read.key, read.operation, {.status = StoreStatus::kOk}, now));
  BOOST_TEST(writing.Written({StoreStatus::kOk, 1, ""}, now).empty());
  VerdictOf<ClaimGranted>(table.OnWritten(second.key, second.operation,
                                          {StoreStatus::kOk, 2, ""}, now));
}

// Guards against a dispatch by a process that was paused while its claim was
// written.
BOOST_AUTO_TEST_CASE(PausedClaimIsNotGranted) {
  WritingTable writing;
  const auto actions = writing.Written({StoreStatus::kOk, 1, ""},
                                       kNow + std::chrono::minutes(1));
  BOOST_REQUIRE(!actions.empty());
  const auto* resolved = std::get_if<ResolveClaim>(&actions.front());
  BOOST_REQUIRE(resolved != nullptr);
  const auto* refused = std::get_if<ClaimRefused>(&resolved->verdict);
  BOOST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->run == RunState::kNotRun));
}

// Guards against one write per claim: claims that arrive during a write share
// the next one.
BOOST_AUTO_TEST_CASE(WaitingClaimsShareAWrite) {
  WritingTable writing;
  // Other identifiers of the same bucket.
  std::vector<std::string> ids;
  for (int i = 0; ids.size() < 5; ++i) {
    const std::string id = IdentifierAt(kWall, std::to_string(i));
    if (ClaimKeyOf(id) == writing.write.key) {
      ids.push_back(id);
    }
  }
  for (const std::string& id : ids) {
    BOOST_TEST(
        writing.table.Claim(7, id, kNow + kDeadline, kWall, kNow).empty());
  }
  // The first is granted; the remaining ones were not in the first write.
  const auto actions = writing.Written({StoreStatus::kOk, 1, ""}, kNow);
  BOOST_REQUIRE(actions.size() == 2U);
  const auto& next = std::get<WriteClaims>(actions[1]);
  BOOST_TEST(next.expect_version == 1U);
  BOOST_TEST(ParseClaimBucket(next.value).size() == 6U);
  BOOST_TEST(
      writing.table
          .OnWritten(next.key, next.operation, {StoreStatus::kOk, 2, ""}, kNow)
          .size() == 5U);
}

// Guards against a repeat that runs again or that does not return the recorded
// outcome.
BOOST_AUTO_TEST_CASE(RepeatGetsTheRecordedOutcome) {
  WritingTable writing;
  const auto grant =
      VerdictOf<ClaimGranted>(writing.Written({StoreStatus::kOk, 1, ""}, kNow));
  const auto repeat = [&writing] {
    return VerdictOf<ClaimRepeated>(
        writing.table.Claim(2, writing.id, kNow + kDeadline, kWall, kNow));
  };
  BOOST_TEST((repeat().entry.state == ClaimState::kClaimed));
  writing.table.RecordOutcome(writing.id,
                              {.nonce = grant.nonce,
                               .state = ClaimState::kDone,
                               .run = RunState::kRun,
                               .summary = "complete \"x\"\n\xff"},
                              kNow);
  BOOST_TEST((repeat().entry.state == ClaimState::kDone));
  BOOST_TEST(repeat().entry.summary == "complete 'x'??");
  // Another host finds the outcome in the store.
  const TimePoint due = kNow + std::chrono::seconds(1);
  const auto read = Only<ReadClaims>(writing.table.OnTimer(due));
  const auto write = Only<WriteClaims>(
      writing.table.OnRead(read.key, read.operation,
                           {StoreStatus::kOk, 1, writing.write.value}, due));
  ClaimTable other({.host = "h2", .start_nonce = "n2"});
  const auto other_read =
      Only<ReadClaims>(other.Claim(3, writing.id, due + kDeadline, kWall, due));
  const auto repeated = VerdictOf<ClaimRepeated>(
      other.OnRead(other_read.key, other_read.operation,
                   {StoreStatus::kOk, 2, write.value}, due));
  BOOST_TEST((repeated.entry.state == ClaimState::kDone));
}

// Guards against grants based on older or unreadable contents of the store, in
// which claims of requests that ran may be missing.
BOOST_AUTO_TEST_CASE(OldOrUnreadableContentsAreNotUsed) {
  for (const StoreReply& bad : {StoreReply{StoreStatus::kOk, 0, ""},
                                StoreReply{StoreStatus::kOk, 9, "{\"x\":1}"}}) {
    WritingTable writing;
    VerdictOf<ClaimGranted>(writing.Written({StoreStatus::kOk, 5, ""}, kNow));
    std::string id;
    for (int i = 0; id.empty() || ClaimKeyOf(id) != writing.write.key; ++i) {
      id = IdentifierAt(kWall, std::to_string(i));
    }
    const auto read = Only<ReadClaims>(
        writing.table.Claim(2, id, kNow + kDeadline, kWall, kNow));
    BOOST_TEST(
        writing.table.OnRead(read.key, read.operation, bad, kNow).empty());
    const auto refused =
        VerdictOf<ClaimRefused>(writing.table.OnTimer(kNow + kDeadline));
    BOOST_TEST((refused.kind == ErrorKind::kClaimUnavailable));
  }
}

// Guards against a value above the limit of the key-value service.
BOOST_AUTO_TEST_CASE(FullBucketRefusesClaims) {
  ClaimOptions options = Options();
  options.max_value_bytes = 300;
  ClaimTable table(options);
  const auto read = Only<ReadClaims>(
      table.Claim(1, IdentifierAt(kWall), kNow + kDeadline, kWall, kNow));
  const auto refused = VerdictOf<ClaimRefused>(table.OnRead(
      read.key, read.operation, {.status = StoreStatus::kOk}, kNow));
  BOOST_TEST((refused.run == RunState::kNotRun));
}

// Guards against more writes than the host's share of the service's write rate.
BOOST_AUTO_TEST_CASE(WritesAreLimited) {
  ClaimOptions options = Options();
  options.writes_per_second = 5;
  options.write_burst = 3;
  ClaimTable table(options);
  int writes = 0;
  for (int ms = 0; ms < 2000; ++ms) {
    const TimePoint now = kNow + std::chrono::milliseconds(ms);
    std::vector<ClaimAction> actions =
        table.Claim(1, IdentifierAt(kWall, std::to_string(ms)), now + kDeadline,
                    kWall, now);
    for (const ClaimAction& action : table.OnTimer(now)) {
      actions.push_back(action);
    }
    for (std::size_t i = 0; i < actions.size(); ++i) {
      const ClaimAction action = actions[i];
      std::vector<ClaimAction> more;
      if (const auto* read = std::get_if<ReadClaims>(&action)) {
        more = table.OnRead(read->key, read->operation,
                            {.status = StoreStatus::kOk}, now);
      } else if (const auto* write = std::get_if<WriteClaims>(&action)) {
        ++writes;
        more = table.OnWritten(write->key, write->operation,
                               {StoreStatus::kOk, 1, ""}, now);
      }
      actions.insert(actions.end(), more.begin(), more.end());
    }
  }
  BOOST_TEST(writes >= 12);
  BOOST_TEST(writes <= 13);
}

// Guards against the deletion of claims whose identifiers a host with a slow
// clock still accepts, and against claims that are never deleted.
BOOST_AUTO_TEST_CASE(OnlyExpiredPeriodsAreSwept) {
  ClaimSweeper sweeper;
  std::set<std::string> keys;
  while (const auto key = sweeper.Next(kWall)) {
    BOOST_TEST(keys.insert(*key).second);
  }
  const auto period_of = [](WallTime issued) { return issued / kClaimPeriod; };
  const WallTime accepted = kWall - 2 * kMaxClockSkew - kClaimRetention;
  BOOST_TEST(!keys.contains(ClaimKey(period_of(accepted), 0)));
  BOOST_TEST(keys.contains(ClaimKey(period_of(accepted) - 1, 0)));
  BOOST_TEST(keys.contains(ClaimKey(period_of(accepted) - 1, 63)));
  std::size_t more = 0;
  while (sweeper.Next(kWall + kClaimPeriod)) {
    ++more;
  }
  BOOST_TEST(more == kClaimBuckets);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
