#include "auburnyard/status_promise.h"

#include <boost/test/unit_test.hpp>

#include "auburnyard/query.h"

namespace auburnyard {

namespace {

constexpr int kMaxStatus = 999;
constexpr ReplyEvidence kNamedRefusal{
    .status = 503,
    .refusal_stated = true,
    .names_request = true,
    .names_any_request = true,
};
constexpr ReplyEvidence kUnnamedRefusal{
    .status = 503,
    .refusal_stated = true,
    .first_on_connection = true,
};

}  // namespace

BOOST_AUTO_TEST_SUITE(status_promise_test)

// Guards against a status of a target that callers take for a promise of the
// host, and against the loss of replies that promise nothing.
BOOST_AUTO_TEST_CASE(PromisesOfTargetsAreNotReturned) {
  for (int status = 0; status <= kMaxStatus; ++status) {
    const bool promise =
        status == 408 || status == 421 || status == 429 || status == 503;
    BOOST_TEST(PromisesNotRun(status) == promise, status);
    BOOST_TEST(MayReturnStatus(status, /*idempotent=*/false) == !promise,
               status);
    BOOST_TEST(MayReturnStatus(status, /*idempotent=*/true), status);
  }
}

// Guards against a refusal of the host that promises more than it knows.
BOOST_AUTO_TEST_CASE(FailuresPromiseNothingUnlessNothingRan) {
  for (const ErrorDescription& error : AllErrors()) {
    BOOST_TEST(FailureStatus(error.kind, RunState::kNotRun) == 503);
    for (const RunState run : {RunState::kUnknown, RunState::kRun}) {
      BOOST_TEST(!PromisesNotRun(FailureStatus(error.kind, run)), error.name);
      BOOST_TEST(!PromisesNotRun(RefusalStatus(error.kind, run, false)),
                 error.name);
      BOOST_TEST(RefusalStatus(error.kind, run, true) == error.http_status,
                 error.name);
    }
    BOOST_TEST(RefusalStatus(error.kind, RunState::kNotRun, false) ==
                   error.http_status,
               error.name);
  }
}

// Guards against a refusal of a query whose status contradicts its run state.
BOOST_AUTO_TEST_CASE(RefusedQueryStatesOneStatus) {
  Refusal refusal{.kind = ErrorKind::kCoverageTooLow, .run = RunState::kRun};
  BOOST_TEST(StatusOf(refusal) == 502);
  BOOST_TEST(SerializeRefusal(refusal).find("\"status\":502") !=
             std::string::npos);
  refusal.idempotent = true;
  BOOST_TEST(StatusOf(refusal) == 503);
}

// Guards against a second run after a refusal that says nothing about the
// request, and against truthful refusals that are ignored.
BOOST_AUTO_TEST_CASE(RefusalCountsOnlyForItsRequest) {
  BOOST_TEST((MeaningOf(kNamedRefusal) == ReplyMeaning::kNotRun));
  BOOST_TEST((MeaningOf(kUnnamedRefusal) == ReplyMeaning::kNotRun));
  ReplyEvidence evidence = kUnnamedRefusal;
  evidence.first_on_connection = false;
  BOOST_TEST((MeaningOf(evidence) == ReplyMeaning::kUnrelated));
  evidence = kUnnamedRefusal;
  evidence.names_any_request = true;
  BOOST_TEST((MeaningOf(evidence) == ReplyMeaning::kUnrelated));
  evidence = kNamedRefusal;
  evidence.names_request = false;
  BOOST_TEST((MeaningOf(evidence) == ReplyMeaning::kUnrelated));
}

// Guards against a status alone that is taken for a refusal.
BOOST_AUTO_TEST_CASE(OnlyAStatedRefusalMeansNotRun) {
  for (int status = 200; status <= kMaxStatus; ++status) {
    ReplyEvidence evidence = kNamedRefusal;
    evidence.status = status;
    evidence.refusal_stated = false;
    BOOST_TEST((MeaningOf(evidence) == ReplyMeaning::kAnswer), status);
    evidence.names_request = evidence.names_any_request = false;
    evidence.first_on_connection = true;
    BOOST_TEST((MeaningOf(evidence) == ReplyMeaning::kUnrelated), status);
  }
}

// Guards against a success that is repeated because it says that it did not
// run.
BOOST_AUTO_TEST_CASE(RefusedSuccessIsAContradiction) {
  for (ReplyEvidence evidence : {kNamedRefusal, kUnnamedRefusal}) {
    evidence.status = 200;
    BOOST_TEST((MeaningOf(evidence) == ReplyMeaning::kContradiction));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
