#include "util/target_standin/target_control.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "src/core/json_reader.h"
#include "util/common/json_reply.h"

namespace auburnyard::util {

namespace {

bool MatchesFilter(const std::string& filter, std::string_view value) {
  return filter.empty() || filter == value;
}

bool IsSelected(const detail::JsonReader& reader, const TargetService& target) {
  if (!MatchesFilter(reader.String("domain", ""), target.domain())) {
    return false;
  }
  if (!reader.Has("targets")) {
    return true;
  }
  const boost::json::array& ids = reader.Array("targets");
  return std::any_of(ids.begin(), ids.end(),
                     [&target](const boost::json::value& id) {
                       return id.is_string() && id.get_string() == target.id();
                     });
}

}  // namespace

TargetControl::TargetControl(
    std::vector<std::shared_ptr<TargetService>> services)
    : targets(std::move(services)) {}

void TargetControl::Handle(const HttpRequest& request,
                           const HttpResponder& respond) const {
  const std::string route = request.method + " " + request.path;
  if (route == "GET /v1/targets") {
    respond(this->ListTargets());
  } else if (route == "GET /v1/records") {
    respond(this->ListRecords(request));
  } else if (route == "GET /v1/audit") {
    respond(this->Audit(request));
  } else if (route == "POST /v1/control") {
    respond(this->Apply(request));
  } else if (route == "POST /v1/reset") {
    respond(this->Reset());
  } else {
    throw Error(ErrorKind::kNotFound, route + ": no such resource");
  }
}

HttpResponse TargetControl::ListTargets() const {
  boost::json::array list;
  for (const auto& target : this->targets) {
    list.push_back(target->Status());
  }
  return JsonReply({{"targets", std::move(list)}});
}

HttpResponse TargetControl::ListRecords(const HttpRequest& request) const {
  const std::string request_id = request.Parameter("request_id");
  const std::string attempt_id = request.Parameter("attempt_id");
  boost::json::array list;
  for (const auto& target : this->targets) {
    if (!MatchesFilter(request.Parameter("target"), target->id())) {
      continue;
    }
    for (const ExecutionRecord& record : target->Records()) {
      if (MatchesFilter(request_id, record.request.request_id) &&
          MatchesFilter(attempt_id, record.request.attempt_id)) {
        boost::json::object json = ToJson(record);
        json["target"] = target->id();
        list.push_back(std::move(json));
      }
    }
  }
  return JsonReply({{"records", std::move(list)}});
}

HttpResponse TargetControl::Audit(const HttpRequest& request) const {
  using WorkKey = std::tuple<std::string, std::string, std::string>;
  std::map<WorkKey, std::uint64_t> starts;
  std::uint64_t records = 0;
  for (const auto& target : this->targets) {
    for (const ExecutionRecord& record : target->Records()) {
      if (!MatchesFilter(request.Parameter("request_id"),
                         record.request.request_id)) {
        continue;
      }
      ++records;
      if (record.started) {
        ++starts[{record.request.request_id, record.request.service,
                  record.request.shard}];
      }
    }
  }
  boost::json::array repeated;
  for (const auto& [work, count] : starts) {
    if (count > 1) {
      repeated.push_back({{"request_id", std::get<0>(work)},
                          {"service", std::get<1>(work)},
                          {"shard", std::get<2>(work)},
                          {"starts", count}});
    }
  }
  return JsonReply({{"records", records},
                    {"started", starts.size()},
                    {"started_repeatedly", std::move(repeated)}});
}

HttpResponse TargetControl::Apply(const HttpRequest& request) const {
  const boost::json::value document =
      detail::ParseJson(request.body, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly(
      {"targets",           "domain",         "frozen",      "reply_fault",
       "reply_fault_share", "reply_delay_ms", "load_report", "load_lag_ms",
       "load_value",        "median_ms",      "sigma",       "slow_share",
       "slow_factor",       "draining",       "leaving",     "slots",
       "queue_length",      "snapshot",       "action",      "down_ms"});
  boost::json::array changed;
  for (const auto& target : this->targets) {
    if (IsSelected(reader, *target)) {
      target->Control(reader);
      changed.emplace_back(target->id());
    }
  }
  return JsonReply({{"changed", std::move(changed)}});
}

HttpResponse TargetControl::Reset() const {
  for (const auto& target : this->targets) {
    target->ResetRecords();
  }
  return JsonReply({{"reset", this->targets.size()}});
}

}  // namespace auburnyard::util
