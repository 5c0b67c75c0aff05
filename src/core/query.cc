#include "auburnyard/query.h"

#include <boost/json/serialize.hpp>

#include "auburnyard/status_promise.h"
#include "src/core/json_reader.h"

namespace auburnyard {

namespace {

constexpr std::uint64_t kDefaultDeadlineMs = 1000;

void CheckLength(std::string_view name,
                 const std::string& text,
                 std::size_t limit) {
  if (text.size() > limit) {
    throw Error(ErrorKind::kBadRequest, std::string(name) + ": longer than " +
                                            std::to_string(limit) + " bytes");
  }
}

}  // namespace

QueryRequest ParseQueryRequest(std::string_view json) {
  const boost::json::value document =
      detail::ParseJson(json, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly({"service", "query", "deadline_ms", "class", "min_coverage",
                    "idempotent", "request_id"});
  QueryRequest request;
  request.service = reader.String("service");
  request.query = reader.String("query");
  CheckLength("query", request.query, kMaxQueryBytes);
  request.deadline = std::chrono::milliseconds(reader.Integer(
      "deadline_ms", 1, static_cast<std::uint64_t>(kMaxDeadline.count()),
      kDefaultDeadlineMs));
  request.priority = ParsePriorityClass(reader.String("class", "normal"));
  request.min_coverage = reader.Number("min_coverage", 0, 1, 0);
  request.idempotent = reader.Boolean("idempotent", true);
  request.request_id = reader.String("request_id", "");
  CheckLength("request_id", request.request_id, kMaxRequestIdBytes);
  if (!request.idempotent && request.request_id.empty()) {
    throw Error(ErrorKind::kBadRequest,
                "request_id: required for a request that is not idempotent");
  }
  return request;
}

std::string SerializeAnswer(const Answer& answer) {
  boost::json::array missing;
  for (const KeyRange& range : answer.missing) {
    missing.push_back({{"begin", range.begin}, {"end", range.end}});
  }
  return boost::json::serialize(boost::json::object{
      {"outcome", answer.missing.empty() ? "complete" : "partial"},
      {"service", answer.service},
      {"snapshot", answer.snapshot},
      {"coverage", answer.coverage},
      {"missing", std::move(missing)},
      {"results", answer.results},
      {"decision", answer.decision},
      {"knowledge_age_ms", answer.configuration_age.count()}});
}

int StatusOf(const Refusal& refusal) {
  return RefusalStatus(refusal.kind, refusal.run, refusal.idempotent);
}

std::string SerializeRefusal(const Refusal& refusal) {
  const ErrorDescription& description = DescribeError(refusal.kind);
  return boost::json::serialize(boost::json::object{
      {"type", "urn:auburnyard:error:" + std::string(description.name)},
      {"title", description.title},
      {"status", StatusOf(refusal)},
      {"detail", refusal.detail},
      {"kind", description.name},
      {"run", ToString(refusal.run)},
      {"decision", refusal.decision}});
}

}  // namespace auburnyard
