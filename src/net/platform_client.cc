#include "src/net/platform_client.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/json/serialize.hpp>

#include "src/core/json_reader.h"

namespace auburnyard {

namespace {

constexpr std::array<std::string_view, kPlatformCallKindCount> kKindNames = {
    "get", "put", "delete", "watch", "lease"};
constexpr std::array<std::string_view, kPlatformStatusCount> kStatusNames = {
    "ok", "not_found", "conflict", "rejected", "unavailable", "unknown"};
constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::uint64_t>::max();

std::string KeyPath(std::string_view key) {
  std::string path = "/v1/kv";
  while (!key.empty()) {
    const std::string_view segment = key.substr(0, key.find('/'));
    key.remove_prefix(std::min(key.size(), segment.size() + 1));
    path += "/" + EncodePercent(segment);
  }
  return path;
}

PlatformStatus StatusOf(const ExchangeResult& result, bool write) {
  const PlatformStatus no_answer_status =
      write ? PlatformStatus::kUnknown : PlatformStatus::kUnavailable;
  if (!result.error.empty()) {
    return result.stage == ExchangeStage::kConnect
               ? PlatformStatus::kUnavailable
               : no_answer_status;
  }
  const int status = result.response.status;
  if (status >= 200 && status < 300) {
    return PlatformStatus::kOk;
  }
  if (status == 404) {
    return PlatformStatus::kNotFound;
  }
  if (status == 409) {
    return PlatformStatus::kConflict;
  }
  // An error of the server or of an intermediary leaves it open whether a write
  // took effect.
  return status >= 400 && status < 500 && status != 408 && status != 429
             ? PlatformStatus::kRejected
             : no_answer_status;
}

std::string ErrorOf(const ExchangeResult& result) {
  return result.error.empty()
             ? "HTTP status " + std::to_string(result.response.status)
             : result.error;
}

PlatformEntry ParseEntry(const boost::json::value& value,
                         const std::string& path) {
  const detail::JsonReader reader(value, path, ErrorKind::kProtocol);
  PlatformEntry entry;
  entry.key = reader.String("key", "");
  entry.deleted = reader.Has("value") && reader.object().at("value").is_null();
  entry.value = entry.deleted ? "" : reader.String("value");
  entry.version = reader.Integer("version", 0, kMaxVersion);
  return entry;
}

void ParseWatch(const std::string& body, WatchResult& result) {
  const boost::json::value document =
      detail::ParseJson(body, ErrorKind::kProtocol);
  const detail::JsonReader reader(document, "", ErrorKind::kProtocol);
  result.position = reader.Integer("revision", 0, kMaxVersion);
  std::size_t index = 0;
  for (const boost::json::value& event : reader.Array("events")) {
    result.entries.push_back(
        ParseEntry(event, "events[" + std::to_string(index++) + "]"));
  }
}

std::uint64_t ParseVersion(const std::string& body) {
  const boost::json::value document =
      detail::ParseJson(body, ErrorKind::kProtocol);
  return detail::JsonReader(document, "", ErrorKind::kProtocol)
      .Integer("version", 0, kMaxVersion);
}

// Fills the result from a successful response. A malformed body is treated like
// a missing response.
template <typename Result, typename Parser>
void FillResult(const ExchangeResult& exchange,
                PlatformStatus malformed_status,
                Result& result,
                Parser parse) {
  if (result.status != PlatformStatus::kOk) {
    result.error = ErrorOf(exchange);
    return;
  }
  try {
    parse(exchange.response.body);
  } catch (const Error& error) {
    result.status = malformed_status;
    result.error = error.what();
  }
}

}  // namespace

std::string_view ToString(PlatformCallKind kind) {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

std::string_view ToString(PlatformStatus status) {
  return kStatusNames.at(static_cast<std::size_t>(status));
}

PlatformClient::PlatformClient(boost::asio::io_context& context,
                               const HostPort& server,
                               PlatformClientOptions client_options)
    : options(client_options),
      calls(std::make_shared<CallPool>(context, server, client_options.calls)),
      watches(
          std::make_shared<CallPool>(context, server, client_options.watches)) {
}

void PlatformClient::Get(std::string_view key, GetCallback done) {
  this->calls->Submit(
      {.method = "GET", .path = KeyPath(key)}, this->options.timeout,
      [self = this->shared_from_this(), key = std::string(key),
       done = std::move(done)](const ExchangeResult& exchange) {
        GetResult result;
        result.status = StatusOf(exchange, /*write=*/false);
        FillResult(exchange, PlatformStatus::kUnavailable, result,
                   [&result](const std::string& body) {
                     result.entry = ParseEntry(
                         detail::ParseJson(body, ErrorKind::kProtocol), "");
                   });
        result.entry.key = key;
        self->Count(PlatformCallKind::kGet, result.status);
        done(std::move(result));
      });
}

void PlatformClient::Put(const PutCall& put, WriteCallback done) {
  boost::json::object body{{"value", put.value},
                           {"expect_version", put.expect_version}};
  if (!put.lease.empty()) {
    body["lease"] = put.lease;
  }
  this->SendWrite(PlatformCallKind::kPut,
                  {.method = "PUT",
                   .path = KeyPath(put.key),
                   .body = boost::json::serialize(body)},
                  std::move(done));
}

void PlatformClient::Delete(std::string_view key,
                            std::uint64_t expect_version,
                            WriteCallback done) {
  this->SendWrite(PlatformCallKind::kDelete,
                  {.method = "DELETE",
                   .path = KeyPath(key) +
                           "?expect_version=" + std::to_string(expect_version)},
                  std::move(done));
}

void PlatformClient::SendWrite(PlatformCallKind kind,
                               HttpCall call,
                               WriteCallback done) {
  this->calls->Submit(std::move(call), this->options.timeout,
                      [self = this->shared_from_this(), kind,
                       done = std::move(done)](const ExchangeResult& exchange) {
                        WriteResult result;
                        result.status = StatusOf(exchange, /*write=*/true);
                        FillResult(exchange, PlatformStatus::kUnknown, result,
                                   [&result, kind](const std::string& body) {
                                     if (kind == PlatformCallKind::kPut) {
                                       result.version = ParseVersion(body);
                                     }
                                   });
                        self->Count(kind, result.status);
                        done(std::move(result));
                      });
}

void PlatformClient::Watch(std::string_view prefix,
                           std::uint64_t after,
                           std::chrono::milliseconds wait,
                           WatchCallback done) {
  HttpCall call;
  call.path = "/v1/watch?prefix=" + EncodePercent(prefix) +
              "&after=" + std::to_string(after) +
              "&timeout_ms=" + std::to_string(wait.count());
  this->watches->Submit(
      std::move(call), wait + this->options.timeout,
      [self = this->shared_from_this(),
       done = std::move(done)](const ExchangeResult& exchange) {
        WatchResult result;
        result.status = StatusOf(exchange, /*write=*/false);
        FillResult(
            exchange, PlatformStatus::kUnavailable, result,
            [&result](const std::string& body) { ParseWatch(body, result); });
        self->Count(PlatformCallKind::kWatch, result.status);
        done(std::move(result));
      });
}

void PlatformClient::CreateLease(std::chrono::milliseconds ttl,
                                 LeaseCallback done) {
  this->SendLeaseCall({.method = "POST",
                       .path = "/v1/leases",
                       .body = boost::json::serialize(
                           boost::json::object{{"ttl_ms", ttl.count()}})},
                      "", std::move(done));
}

void PlatformClient::KeepLeaseAlive(std::string_view id, LeaseCallback done) {
  this->SendLeaseCall(
      {.method = "POST",
       .path = "/v1/leases/" + EncodePercent(id) + "/keepalive"},
      std::string(id), std::move(done));
}

void PlatformClient::SendLeaseCall(HttpCall call,
                                   std::string id,
                                   LeaseCallback done) {
  this->calls->Submit(
      std::move(call), this->options.timeout,
      [self = this->shared_from_this(), id = std::move(id),
       done = std::move(done)](const ExchangeResult& exchange) {
        LeaseResult result;
        result.status = StatusOf(exchange, /*write=*/true);
        result.id = id;
        FillResult(exchange, PlatformStatus::kUnknown, result,
                   [&result](const std::string& body) {
                     if (result.id.empty()) {
                       const auto document =
                           detail::ParseJson(body, ErrorKind::kProtocol);
                       result.id = detail::JsonReader(document, "",
                                                      ErrorKind::kProtocol)
                                       .String("id");
                     }
                   });
        self->Count(PlatformCallKind::kLease, result.status);
        done(std::move(result));
      });
}

void PlatformClient::Close() {
  this->calls->Close();
  this->watches->Close();
}

void PlatformClient::Count(PlatformCallKind kind, PlatformStatus status) {
  ++this->counts.at(static_cast<std::size_t>(kind))
        .at(static_cast<std::size_t>(status));
}

PlatformCounters PlatformClient::counters() const {
  PlatformCounters copy{};
  for (std::size_t kind = 0; kind < copy.size(); ++kind) {
    for (std::size_t status = 0; status < copy.at(kind).size(); ++status) {
      copy.at(kind).at(status) = this->counts.at(kind).at(status).load();
    }
  }
  return copy;
}

}  // namespace auburnyard
