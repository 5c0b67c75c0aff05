#include "src/daemon/dispatcher.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "src/core/json_reader.h"

namespace auburnyard {

Dispatcher::Dispatcher(boost::asio::io_context& io_context,
                       const Clock& runtime_clock,
                       GateTable& gate_table,
                       std::string id,
                       DispatcherHooks dispatcher_hooks)
    : context(io_context),
      clock(runtime_clock),
      gates(gate_table),
      own_id(std::move(id)),
      hooks(std::move(dispatcher_hooks)),
      front_side(this->MakeFrontHooks()),
      owner_side(this->MakeOwnerHooks()) {}

RemoteGateFrontHooks Dispatcher::MakeFrontHooks() {
  return {.send = this->hooks.send,
          .request_flush =
              [this] {
                boost::asio::post(this->context, [this] {
                  this->front_side.Flush(this->clock.Now());
                });
              },
          .on_started = [this](const AttemptId& id) { this->OnStarted(id); },
          .on_outcome =
              [this](const RemoteGateOutcome& outcome) {
                this->OnOutcome(outcome);
              },
          .on_owner_timeout =
              [this](const std::string& host) {
                this->hooks.report_unreachable(host);
              }};
}

RemoteGateOwnerHooks Dispatcher::MakeOwnerHooks() {
  return {
      .send = this->hooks.send,
      .request_flush =
          [this] {
            boost::asio::post(this->context, [this] {
              this->owner_side.Flush(this->clock.Now());
            });
          },
      .enqueue =
          [this](const SubRequest& request) { this->EnqueueRemote(request); },
      .cancel = [this](
                    const AttemptId& id, const std::string& target,
                    Reason reason) { this->gates.Cancel(target, id, reason); }};
}

void Dispatcher::Enqueue(const std::vector<SubRequest>& batch,
                         const SubRequestObserver& observer) {
  for (const SubRequest& request : batch) {
    if (!this->hooks.owner) {
      this->gates.Enqueue(request, observer);
      continue;
    }
    const std::optional<HostRecord> owner = this->hooks.owner(request.target);
    if (!owner) {
      this->Fail(request, observer, Reason::kNotOwner);
    } else if (owner->id == this->own_id) {
      this->gates.Enqueue(request, observer);
    } else {
      {
        const std::lock_guard lock(this->mutex);
        this->forwarded.emplace(request.id, observer);
      }
      this->front_side.Enqueue(*owner, request, this->clock.Now());
    }
  }
  this->front_side.Flush(this->clock.Now());
}

void Dispatcher::Cancel(const std::string& target,
                        const AttemptId& id,
                        Reason reason) {
  bool is_forwarded = false;
  {
    const std::lock_guard lock(this->mutex);
    is_forwarded = this->forwarded.contains(id);
  }
  if (is_forwarded) {
    this->front_side.Cancel(id, reason);
  } else {
    this->gates.Cancel(target, id, reason);
  }
}

void Dispatcher::Fail(const SubRequest& request,
                      const SubRequestObserver& observer,
                      Reason reason) {
  boost::asio::post(this->context, [id = request.id, observer, reason] {
    observer.failure(id, {reason, RunState::kNotRun});
  });
}

void Dispatcher::EnqueueRemote(const SubRequest& request) {
  SubRequestObserver observer;
  observer.authorize_dispatch = [this](const AttemptId& id) {
    this->owner_side.OnStarted(id);
    return true;
  };
  observer.started = [](const AttemptId&) {};
  observer.result = [this](const AttemptId& id, const PartialResult& result) {
    this->owner_side.OnFinished(
        {.attempt = id,
         .ok = true,
         .run = RunState::kRun,
         .snapshot = result.snapshot,
         .range = result.range,
         .items = boost::json::serialize(result.items)});
  };
  observer.failure = [this](const AttemptId& id,
                            const AttemptFailure& failure) {
    this->owner_side.OnFinished({.attempt = id,
                                 .ok = false,
                                 .reason = failure.reason,
                                 .run = failure.run});
  };
  this->gates.Enqueue(request, std::move(observer));
}

void Dispatcher::OnStarted(const AttemptId& id) {
  SubRequestObserver observer;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->forwarded.find(id);
    if (found == this->forwarded.end()) {
      return;
    }
    observer = found->second;
  }
  observer.started(id);
}

void Dispatcher::OnOutcome(const RemoteGateOutcome& outcome) {
  SubRequestObserver observer;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->forwarded.find(outcome.attempt);
    if (found == this->forwarded.end()) {
      return;
    }
    observer = std::move(found->second);
    this->forwarded.erase(found);
  }
  if (!outcome.ok) {
    observer.failure(outcome.attempt, {outcome.reason, outcome.run});
    return;
  }
  try {
    boost::json::value items =
        detail::ParseJson(outcome.items, ErrorKind::kProtocol);
    observer.result(outcome.attempt,
                    {outcome.snapshot, outcome.range, items.as_array()});
  } catch (const std::exception&) {
    observer.failure(outcome.attempt, {Reason::kRetryBadReply, RunState::kRun});
  }
}

void Dispatcher::OnMessage(const proto::Envelope& envelope) {
  switch (envelope.body_case()) {
    case proto::Envelope::kEnqueue:
    case proto::Envelope::kCancel:
      this->owner_side.OnMessage(envelope, this->clock.Now());
      break;
    case proto::Envelope::kStarted:
    case proto::Envelope::kSubResult:
      this->front_side.OnMessage(envelope, this->clock.Now());
      break;
    default:
      break;
  }
}

void Dispatcher::OnHostLost(const std::string& id, bool left) {
  this->front_side.OnOwnerLost(id);
  if (left) {
    this->owner_side.OnFrontLost(id);
  }
}

void Dispatcher::OnTimer() {
  this->front_side.OnTimer(this->clock.Now());
  this->owner_side.OnTimer(this->clock.Now());
}

}  // namespace auburnyard
