#include "src/daemon/configuration_poller.h"

#include <utility>

#include <spdlog/spdlog.h>
#include <boost/json/parse.hpp>

#include "src/core/json_reader.h"
#include "src/net/http_client.h"

namespace auburnyard {

namespace {

constexpr std::chrono::milliseconds kPollInterval{1000};
constexpr std::chrono::milliseconds kCallTimeout{800};

}  // namespace

ConfigurationPoller::ConfigurationPoller(boost::asio::io_context& io_context,
                                         std::string address)
    : context(io_context), platform(std::move(address)) {}

void ConfigurationPoller::Start(
    std::function<void(const Configuration&)> on_change) {
  this->changed = std::move(on_change);
  this->task = std::make_shared<PeriodicTask>(
      this->context, kPollInterval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->Poll();
        }
      });
  this->Poll();
  this->task->Start();
}

void ConfigurationPoller::Stop() {
  this->task->Stop();
}

std::shared_ptr<const Configuration> ConfigurationPoller::configuration()
    const {
  const std::lock_guard lock(this->mutex);
  return this->current;
}

std::shared_ptr<const ShardMap> ConfigurationPoller::Catalog(
    const std::string& service) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->catalogs.find(service);
  return found == this->catalogs.end() ? nullptr : found->second;
}

void ConfigurationPoller::Poll() {
  this->Fetch("auburnyard/config", [this](const std::string& text) {
    this->TakeConfiguration(text);
  });
  if (const std::shared_ptr<const Configuration> known =
          this->configuration()) {
    for (const auto& [service, config] : known->services) {
      this->Fetch("auburnyard/catalog/" + service,
                  [this](const std::string& text) { this->TakeCatalog(text); });
    }
  }
}

void ConfigurationPoller::Fetch(
    const std::string& key,
    std::function<void(const std::string&)> callback) {
  const HostPort endpoint = ParseHostPort(this->platform);
  const auto connection = std::make_shared<HttpConnection>(
      this->context, endpoint.host, endpoint.port);
  connection->Exchange(
      {.path = "/v1/kv/" + key}, kCallTimeout,
      [self = this->shared_from_this(), connection, key,
       done = std::move(callback)](const ExchangeResult& result) {
        try {
          if (!result.error.empty() || result.response.status != 200) {
            throw Error(ErrorKind::kPlatformUnavailable, result.error);
          }
          const boost::json::value document =
              detail::ParseJson(result.response.body, ErrorKind::kProtocol);
          done(detail::JsonReader(document, "", ErrorKind::kProtocol)
                   .String("value"));
        } catch (const Error& error) {
          spdlog::warn("reading {} from the platform's service failed: {}", key,
                       error.what());
        }
      });
}

void ConfigurationPoller::TakeConfiguration(const std::string& text) {
  auto next = std::make_shared<const Configuration>(ParseConfiguration(text));
  bool first = false;
  {
    const std::lock_guard lock(this->mutex);
    if (this->current && this->current->revision >= next->revision) {
      return;
    }
    first = !this->current;
    this->current = next;
  }
  this->changed(*next);
  if (first) {
    this->Poll();
  }
}

void ConfigurationPoller::TakeCatalog(const std::string& text) {
  auto next = std::make_shared<const ShardMap>(ParseShardMap(text));
  const std::lock_guard lock(this->mutex);
  std::shared_ptr<const ShardMap>& known = this->catalogs[next->service];
  if (!known || known->revision < next->revision) {
    known = next;
  }
}

}  // namespace auburnyard
