#include "src/relay/store_registration.h"

#include <utility>

#include "src/net/log.h"

namespace auburnyard {

namespace {

using std::chrono::milliseconds;

// Three renewals may fail before the registration lapses.
constexpr milliseconds kLeaseTime{18'000};
constexpr milliseconds kRenewalInterval{5'000};
constexpr milliseconds kCallTimeout{1'500};
constexpr int kStatusOk = 200;

}  // namespace

StoreRegistration::StoreRegistration(const RelayContext& relay_context,
                                     const StoreCodec& store_codec,
                                     HostPort store_address,
                                     StoreItem registered,
                                     std::uint64_t seed,
                                     Hooks registration_hooks)
    : context(relay_context),
      codec(store_codec),
      store(std::move(store_address)),
      item(std::move(registered)),
      hooks(std::move(registration_hooks)),
      timer(relay_context.io),
      backoff(seed),
      random(seed) {}

void StoreRegistration::Start() {
  this->Acquire();
}

void StoreRegistration::Call(const HttpCall& call,
                             std::string_view kind,
                             std::function<void(const HttpResponse&)> next) {
  if (this->connection == nullptr) {
    this->connection = std::make_shared<HttpConnection>(
        this->context.io, this->store.host, this->store.port);
    this->connection->ChargeTo(this->context.memory, "store");
  }
  this->connection->Exchange(
      call, kCallTimeout,
      [self = this->shared_from_this(), kind,
       sent_generation = this->generation,
       next = std::move(next)](const ExchangeResult& result) {
        const bool success =
            result.error.empty() && result.response.status == kStatusOk;
        if (self->generation != sent_generation) {
          return;
        }
        self->hooks.on_call(kind, OutcomeOf(result));
        if (!result.error.empty()) {
          self->connection = nullptr;
        } else {
          // May begin a new generation, which acquires a lease.
          self->ObserveEpoch(
              self->codec.decode_epoch(result.response).value_or(0));
        }
        if (self->generation != sent_generation) {
          return;
        }
        if (result.error.empty() && self->codec.lease_ended(result.response)) {
          LogEvent(spdlog::level::info, "registration_lapsed",
                   {{"key", self->item.key}, {"lease", self->state.id()}});
          self->state.OnEnded();
        }
        if (self->released) {
          return;
        }
        if (success) {
          self->backoff.Reset();
          next(result.response);
        } else {
          self->Retry();
        }
      });
}

void StoreRegistration::Retry() {
  this->Schedule(this->backoff.Next(),
                 this->state.id() == 0   ? &StoreRegistration::Acquire
                 : this->state.written() ? &StoreRegistration::Renew
                                         : &StoreRegistration::Put);
}

void StoreRegistration::ObserveEpoch(std::uint64_t observed) {
  const bool is_new = observed > this->state.epoch();
  if (this->state.ObserveEpoch(observed) && !this->released) {
    LogEvent(spdlog::level::warn, "registration_of_older_epoch",
             {{"key", this->item.key}, {"epoch", observed}});
    this->AcquireLater();
  }
  if (is_new && this->hooks.on_epoch) {
    this->hooks.on_epoch(observed);
  }
}

// A call that is running was sent for a lease of the older epoch.
void StoreRegistration::AcquireLater() {
  ++this->generation;
  if (this->connection != nullptr) {
    std::exchange(this->connection, nullptr)->Close();
  }
  std::uniform_int_distribution<milliseconds::rep> spread(
      0, kAcquireSpread.count());
  this->Schedule(milliseconds(spread(this->random)),
                 &StoreRegistration::Acquire);
}

void StoreRegistration::Schedule(Duration delay,
                                 void (StoreRegistration::*next)()) {
  this->timer.expires_after(delay);
  this->timer.async_wait(
      [self = this->shared_from_this(), next](boost::system::error_code error) {
        if (!error && !self->released) {
          (self.get()->*next)();
        }
      });
}

void StoreRegistration::Acquire() {
  this->Call(this->codec.encode_lease(kLeaseTime), "lease",
             [this](const HttpResponse& response) {
               bool granted = false;
               try {
                 granted = this->state.OnGranted(
                     this->codec.decode_lease(response),
                     this->codec.decode_epoch(response).value_or(0));
               } catch (const Error& error) {
                 LogEvent(spdlog::level::warn, "lease_unreadable",
                          {{"error", error.what()}});
               }
               if (granted) {
                 this->Put();
               } else {
                 this->Retry();
               }
             });
}

void StoreRegistration::Put() {
  this->Call(this->codec.encode_put(this->item.key, this->item.value,
                                    this->state.id()),
             "put", [this](const HttpResponse& response) {
               if (this->state.OnWritten(
                       this->codec.decode_epoch(response).value_or(0))) {
                 this->Schedule(kRenewalInterval, &StoreRegistration::Renew);
               } else {
                 this->Retry();
               }
             });
}

void StoreRegistration::Renew() {
  this->Call(this->codec.encode_renewal(this->state.id()), "renew",
             [this](const HttpResponse&) {
               this->Schedule(kRenewalInterval, &StoreRegistration::Renew);
             });
}

void StoreRegistration::Release() {
  this->released = true;
  this->timer.cancel();
  // A lease of an older epoch is never released: its identifier may be that of
  // another host.
  if (this->state.id() != 0) {
    this->connection = nullptr;
    this->Call(this->codec.encode_release(this->state.id()), "release",
               nullptr);
  }
}

}  // namespace auburnyard
