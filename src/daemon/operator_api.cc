#include "src/daemon/operator_api.h"

#include <algorithm>
#include <utility>

#include "auburnyard/error.h"
#include "auburnyard/intent.h"
#include "src/core/json_reader.h"
#include "src/daemon/bearer_key.h"
#include "src/daemon/operator_reply.h"

namespace auburnyard {

namespace {

constexpr std::string_view kRoot = "/v1/";

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> segments;
  path.remove_prefix(kRoot.size());
  while (true) {
    const std::size_t slash = path.find('/');
    segments.push_back(DecodePercent(path.substr(0, slash)));
    if (slash == std::string_view::npos) {
      return segments;
    }
    path.remove_prefix(slash + 1);
  }
}

[[noreturn]] void RejectMethod(const HttpRequest& request) {
  throw Error(ErrorKind::kMethodNotAllowed,
              request.method + " " + request.path);
}

[[noreturn]] void RejectPath(const HttpRequest& request) {
  throw Error(ErrorKind::kNotFound, request.path + ": no such resource");
}

// An error in a callback of the editor would otherwise escape from the thread
// of the io_context.
void RespondWith(const HttpResponder& respond,
                 const std::function<HttpResponse()>& produce) {
  HttpResponse response;
  try {
    response = produce();
  } catch (const Error& error) {
    response = ProblemDetails(error.kind(), error.what());
  }
  respond(std::move(response));
}

boost::json::object EditJson(const EditResult& result) {
  return {{"revision", result.configuration->revision},
          {"changed", result.changed}};
}

HttpResponse ConfirmJson(const std::string& plan_id, const EditResult& result) {
  const Intent intent =
      FindIntent(*result.configuration, ParsePlanId(plan_id).intent);
  boost::json::object body = EditJson(result);
  body["plan"] = plan_id;
  body["confirmed_revision"] = intent.confirmation->revision;
  return JsonResponse(body);
}

}  // namespace

OperatorApi::OperatorApi(OperatorApiParts api_parts)
    : parts(std::move(api_parts)) {}

bool OperatorApi::Handle(const HttpRequest& request,
                         const HttpResponder& respond) {
  if (!request.path.starts_with(kRoot)) {
    return false;
  }
  const Segments path = SplitPath(request.path);
  const bool is_leaf = path[0] == "status" || path[0] == "restrictions";
  if (path[0] != "intents" && path[0] != "plans" &&
      (!is_leaf || path.size() != 1)) {
    return false;
  }
  try {
    this->Route(request, path, respond);
  } catch (const Error& error) {
    respond(ProblemDetails(error.kind(), error.what()));
  }
  return true;
}

void OperatorApi::Route(const HttpRequest& request,
                        const Segments& path,
                        const HttpResponder& respond) {
  if (path[0] == "status") {
    if (request.method != "GET") {
      RejectMethod(request);
    }
    respond(this->GetStatus());
    return;
  }
  if (!HasBearerKey(request, this->parts.operator_key)) {
    throw Error(ErrorKind::kUnauthorized,
                "expected the header \"Authorization: Bearer\" with the "
                "operator key");
  }
  if (path[0] == "intents") {
    this->HandleIntents(request, path, respond);
  } else if (path[0] == "restrictions") {
    respond(this->HandleRestrictions(request));
  } else {
    this->HandlePlans(request, path, respond);
  }
}

void OperatorApi::HandleIntents(const HttpRequest& request,
                                const Segments& path,
                                const HttpResponder& respond) {
  if (path.size() > 2) {
    RejectPath(request);
  }
  const bool has_id = path.size() == 2;
  if (request.method == "GET") {
    respond(has_id ? JsonResponse(ToJson(FindIntent(*this->InForce(), path[1])))
                   : this->GetIntents());
  } else if (request.method == "POST" && !has_id) {
    this->CreateIntent(request, respond);
  } else if (request.method == "DELETE" && has_id) {
    this->parts.editor->Edit(
        WithdrawIntentEdit(path[1]), [respond](const EditResult& result) {
          respond(result.error ? ProblemDetails(*result.error, result.detail)
                               : JsonResponse(EditJson(result)));
        });
  } else {
    RejectMethod(request);
  }
}

void OperatorApi::CreateIntent(const HttpRequest& request,
                               const HttpResponder& respond) {
  const Intent intent = ParseIntentRequest(request.body);
  this->parts.editor->Edit(
      CreateIntentEdit(intent),
      [respond, id = intent.id](const EditResult& result) {
        RespondWith(respond, [&result, &id] {
          if (result.error) {
            return ProblemDetails(*result.error, result.detail);
          }
          boost::json::object body = EditJson(result);
          body["intent"] = ToJson(FindIntent(*result.configuration, id));
          return JsonResponse(body);
        });
      });
}

void OperatorApi::HandlePlans(const HttpRequest& request,
                              const Segments& path,
                              const HttpResponder& respond) {
  const bool post = request.method == "POST";
  if (path.size() == 1 && post) {
    respond(this->CreatePlan(request.body));
  } else if (path.size() == 1 && request.method == "GET") {
    respond(this->GetPlans());
  } else if (path.size() == 2 && request.method == "GET") {
    respond(this->GetPlan(path[1]));
  } else if (path.size() == 3 && path[2] == "confirm" && post) {
    this->Confirm(path[1], respond);
  } else if (path.size() > 3 || (path.size() == 3 && path[2] != "confirm")) {
    RejectPath(request);
  } else {
    RejectMethod(request);
  }
}

void OperatorApi::Confirm(const std::string& plan_id,
                          const HttpResponder& respond) {
  const auto age = this->parts.configuration_age->Age(this->parts.clock->Now());
  ConfigurationEdit edit = ConfirmPlanEdit(plan_id);
  if (PermissionFor(AgeDependentAction::kConfirmPlan, age) ==
      Permission::kRefused) {
    throw Error(ErrorKind::kPlatformUnavailable,
                "the configuration on this host is stale, so it confirms no "
                "plans");
  }
  this->parts.editor->Edit(
      std::move(edit), [self = this->shared_from_this(), plan_id,
                        respond](const EditResult& result) {
        RespondWith(respond, [&self, &plan_id, &result] {
          return result.error ? self->ConfirmProblem(plan_id, result)
                              : ConfirmJson(plan_id, result);
        });
      });
}

HttpResponse OperatorApi::ConfirmProblem(const std::string& plan_id,
                                         const EditResult& result) const {
  boost::json::object extra;
  if (*result.error == ErrorKind::kConflict && result.configuration) {
    const Intent intent =
        FindIntent(*result.configuration, ParsePlanId(plan_id).intent);
    if (!intent.confirmation) {
      extra["plan"] = ToJson(this->Compute(result.configuration, intent));
    }
  }
  return ProblemDetails(*result.error, result.detail, extra);
}

HttpResponse OperatorApi::GetIntents() const {
  const auto configuration = this->InForce();
  boost::json::array intents;
  for (const Intent& intent : ListIntents(*configuration)) {
    intents.push_back(ToJson(intent));
  }
  return JsonResponse(
      {{"revision", configuration->revision}, {"intents", std::move(intents)}});
}

HttpResponse OperatorApi::GetPlans() const {
  const auto configuration = this->InForce();
  boost::json::array plans;
  for (const Intent& intent : ListIntents(*configuration)) {
    if (!intent.confirmation) {
      plans.push_back(ToJson(this->Compute(configuration, intent)));
    }
  }
  return JsonResponse(
      {{"revision", configuration->revision}, {"plans", std::move(plans)}});
}

HttpResponse OperatorApi::GetPlan(const std::string& plan_id) const {
  const auto configuration = this->InForce();
  const Intent intent = FindIntent(*configuration, ParsePlanId(plan_id).intent);
  const Plan plan = this->Compute(configuration, intent);
  if (plan.id != plan_id) {
    return ProblemDetails(ErrorKind::kConflict,
                          "the plan does not match the intent at revision " +
                              std::to_string(configuration->revision),
                          {{"plan", ToJson(plan)}});
  }
  return JsonResponse(ToJson(plan));
}

HttpResponse OperatorApi::CreatePlan(const std::string& body) const {
  const boost::json::value document =
      detail::ParseJson(body, ErrorKind::kBadRequest);
  const detail::JsonReader reader(document, "", ErrorKind::kBadRequest);
  reader.AllowOnly({"intent"});
  const std::string id = reader.String("intent");
  const auto configuration = this->InForce();
  const Intent intent = FindIntent(*configuration, id);
  if (intent.confirmation) {
    throw Error(ErrorKind::kConflict, "intent \"" + id +
                                          "\" was confirmed by plan " +
                                          intent.confirmation->plan);
  }
  return JsonResponse(ToJson(this->Compute(configuration, intent)));
}

HttpResponse OperatorApi::HandleRestrictions(const HttpRequest& request) const {
  if (this->parts.restrictions == nullptr) {
    RejectPath(request);
  }
  if (request.method == "POST") {
    return this->Restrict(request.body);
  }
  if (request.method != "GET") {
    RejectMethod(request);
  }
  boost::json::array list;
  for (const Restriction& restriction :
       this->parts.restrictions->List(this->parts.clock->Now())) {
    list.push_back(ToJson(restriction));
  }
  return JsonResponse({{"restrictions", std::move(list)}});
}

HttpResponse OperatorApi::Restrict(const std::string& body) const {
  Restriction restriction = ParseRestrictionRequest(body);
  const auto configuration = this->InForce();
  const TimePoint now = this->parts.clock->Now();
  if (!configuration->domains.contains(restriction.domain)) {
    throw Error(ErrorKind::kBadRequest,
                "domain: \"" + restriction.domain + "\" is not configured");
  }
  if (!this->parts.configuration_age->Stale(now)) {
    throw Error(ErrorKind::kConflict,
                "the platform's service can be reached; use an intent");
  }
  restriction.base_revision = configuration->revision;
  if (!this->parts.restrictions->Add(restriction, now)) {
    throw Error(
        ErrorKind::kConflict,
        "the restriction exists already or has expired, or the limit of " +
            std::to_string(kMaxRestrictions) + " is reached");
  }
  if (this->parts.push_restriction) {
    this->parts.push_restriction(restriction);
  }
  return JsonResponse(ToJson(restriction));
}

HttpResponse OperatorApi::GetStatus() const {
  const TimePoint now = this->parts.clock->Now();
  StatusReport report;
  report.revision = this->parts.configuration_age->revision();
  report.newest_revision = this->parts.configuration_age->newest_revision();
  report.age = this->parts.configuration_age->Age(now);
  if (this->parts.hosts) {
    report.hosts = this->parts.hosts();
  }
  for (const HostStatus& host : report.hosts) {
    report.newest_revision = std::max(report.newest_revision, host.revision);
  }
  if (this->parts.faults) {
    report.faults = this->parts.faults();
  }
  boost::json::object body = ToJson(report);
  if (this->parts.additional_status) {
    for (const auto& member : this->parts.additional_status()) {
      body[member.key()] = member.value();
    }
  }
  return JsonResponse(body);
}

std::shared_ptr<const Configuration> OperatorApi::InForce() const {
  auto configuration = this->parts.store->configuration();
  if (!configuration) {
    throw Error(ErrorKind::kPlatformUnavailable,
                "this host has no configuration yet");
  }
  return configuration;
}

Plan OperatorApi::Compute(std::shared_ptr<const Configuration> configuration,
                          const Intent& intent) const {
  PlannerInput input{.configuration = std::move(configuration),
                     .catalogs = this->parts.store->Catalogs()};
  if (this->parts.load) {
    input.load = this->parts.load();
  }
  return ComputePlan(input, intent);
}

}  // namespace auburnyard
