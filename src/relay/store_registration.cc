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
      backoff(seed) {}

void StoreRegistration::Start() {
  this->Acquire();
}

void StoreRegistration::Call(const HttpCall& call,
                             std::string_view kind,
                             std::function<void(const HttpResponse&)> next) {
  if (this->connection == nullptr) {
    this->connection = std::make_shared<HttpConnection>(
        this->context.io, this->store.host, this->store.port);
  }
  this->connection->Exchange(
      call, kCallTimeout,
      [self = this->shared_from_this(), kind,
       next = std::move(next)](const ExchangeResult& result) {
        const bool success =
            result.error.empty() && result.response.status == kStatusOk;
        self->hooks.on_call(kind, OutcomeOf(result));
        if (!result.error.empty()) {
          self->connection = nullptr;
        }
        if (result.error.empty() && self->codec.lease_ended(result.response)) {
          LogEvent(spdlog::level::info, "registration_lapsed",
                   {{"key", self->item.key}, {"lease", self->lease}});
          self->lease = 0;
          self->written = false;
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
                 this->lease == 0 ? &StoreRegistration::Acquire
                 : this->written  ? &StoreRegistration::Renew
                                  : &StoreRegistration::Put);
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
               try {
                 this->lease = this->codec.decode_lease(response);
               } catch (const Error& error) {
                 LogEvent(spdlog::level::warn, "lease_unreadable",
                          {{"error", error.what()}});
                 this->Retry();
                 return;
               }
               this->written = false;
               this->Put();
             });
}

void StoreRegistration::Put() {
  this->Call(
      this->codec.encode_put(this->item.key, this->item.value, this->lease),
      "put", [this](const HttpResponse&) {
        this->written = true;
        this->Schedule(kRenewalInterval, &StoreRegistration::Renew);
      });
}

void StoreRegistration::Renew() {
  this->Call(this->codec.encode_renewal(this->lease), "renew",
             [this](const HttpResponse&) {
               this->Schedule(kRenewalInterval, &StoreRegistration::Renew);
             });
}

void StoreRegistration::Release() {
  this->released = true;
  this->timer.cancel();
  if (this->lease != 0) {
    this->connection = nullptr;
    this->Call(this->codec.encode_release(this->lease), "release", nullptr);
  }
}

}  // namespace auburnyard
