#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/base64.h"
#include "platform/documents.h"
#include "platform/relay_codec.h"
#include "platform/store_codec.h"
#include "platform/wire_names.h"
#include "test/property.h"

namespace auburnyard {

namespace {

boost::json::object Registration() {
  return {{"service", "s"},
          {"address", "127.0.0.1:1"},
          {"zone", "z"},
          {"version", "v1"},
          {"slots", 2},
          {"state", "ready"},
          {"warmup_left_ms", 7},
          {"seq_num", 4},
          {"born", 1'700'000'000'000}};
}

bool Readable(const boost::json::object& entry) {
  try {
    platform::DecodeTarget("t", boost::json::serialize(entry));
    return true;
  } catch (const Error&) {
    return false;
  }
}

BeastRequest Request(std::string_view target) {
  BeastRequest request(boost::beast::http::verb::get,
                       boost::beast::string_view(target.data(), target.size()),
                       11);
  request.set("Host", "h");
  return request;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_codec_test)

// Guards against fields being decoded into the wrong member.
BOOST_AUTO_TEST_CASE(RoutesAreRead) {
  const auto table = platform::DecodeRoutes(R"({"version": 9, "routes": [
    {"name": "g", "host": "H.example", "prefix": "/g/", "timeout_ms": 800,
     "route_type": "idempotent", "target_latency_ms": 120, "priority": 2,
     "gather": ["a", "b"], "max_attempts": 2, "top_k": 5,
     "min_coverage": 0.75, "allowed_regions": ["r"]},
    {"name": "w", "host": "h.example", "prefix": "/w/", "timeout_ms": 10,
     "route_type": "non_idempotent", "max_attempts": 1, "weighted_targets":
     [{"service": "x", "weight": 3}, {"service": "y", "weight": 1}]}],
    "services": [{"name": "a", "max_connections": 26, "warmup_s": 3.0,
     "warmup_per_s": 1.5}],
    "limits": {"header_bytes": 100, "max_body_bytes": 200,
     "header_timeout_ms": 300, "idle_timeout_ms": 400}})");
  const Route* gather = table->Find("h.example", "/g/x");
  BOOST_REQUIRE(gather != nullptr);
  BOOST_TEST(gather->idempotent);
  BOOST_TEST(gather->shards.size() == 2U);
  BOOST_TEST(gather->top_records == 5U);
  BOOST_TEST(gather->min_coverage == 0.75);
  BOOST_TEST(gather->latency_objective.count() == 120);
  BOOST_TEST(gather->allowed_regions.front() == "r");
  const Route* weighted = table->Find("h.example", "/w/");
  BOOST_REQUIRE(weighted != nullptr);
  BOOST_TEST(!weighted->idempotent);
  BOOST_TEST(weighted->services.front().weight == 3);
  BOOST_REQUIRE(table->Service("a") != nullptr);
  BOOST_TEST(table->Service("a")->max_connections == 26U);
  BOOST_TEST(table->Service("a")->warm_up_requests_per_second == 1.5);
  BOOST_TEST(table->limits().idle_timeout.count() == 400);
}

// Guards against requests to a target whose registration is incomplete or
// malformed.
BOOST_AUTO_TEST_CASE(IncompleteRegistrationsNameNoTarget) {
  BOOST_TEST(Readable(Registration()));
  for (const char* field : {"service", "address", "zone", "version", "slots",
                            "state", "warmup_left_ms", "seq_num"}) {
    boost::json::object missing = Registration();
    missing.erase(field);
    BOOST_TEST(!Readable(missing), field);
    boost::json::object typed = Registration();
    typed[field] = boost::json::array();
    BOOST_TEST(!Readable(typed), field);
  }
  boost::json::object state = Registration();
  state["state"] = "resting";
  BOOST_TEST(!Readable(state));
  boost::json::object start = Registration();
  start["born"] = 1.5;
  BOOST_TEST(!Readable(start));
  boost::json::object address = Registration();
  address["address"] = "somewhere";
  BOOST_TEST(!Readable(address));
  BOOST_CHECK_THROW(platform::DecodeTarget("t", "\xff{"), Error);
}

// Guards against a host that ends, or stops following the store, because
// another writer left an odd entry among the registrations.
BOOST_AUTO_TEST_CASE(OddRegistrationsAreErrors) {
  constexpr std::size_t kDepth = 100'000;
  std::vector<std::string> texts = {
      "",
      "null",
      "[]",
      "\"text\"",
      "{",
      std::string(kDepth, '['),
      std::string(kDepth, '[') + std::string(kDepth, ']'),
      "\xff{"};
  std::string nested = boost::json::serialize(Registration());
  nested.pop_back();
  nested +=
      ",\"more\":" + std::string(kDepth, '[') + std::string(kDepth, ']') + "}";
  texts.push_back(nested);
  for (const char* field :
       {"slots", "warmup_left_ms", "seq_num", "born", "service"}) {
    for (const char* number :
         {"1e999", "1e308", "-1", "99999999999999999999999999", "-1e308"}) {
      boost::json::object entry = Registration();
      entry.erase(field);
      std::string text = boost::json::serialize(entry);
      text.pop_back();
      texts.push_back(text + ",\"" + field + "\":" + number + "}");
    }
  }
  for (const char* address :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:-1",
        "127.0.0.1:8x", "127.0.0.1:99999999999999999999", "::1",
        "[::1]:", "999.0.0.1:80", "name:80", "127.0.0.1:80\r\nX: y"}) {
    boost::json::object entry = Registration();
    entry["address"] = address;
    texts.push_back(boost::json::serialize(entry));
  }
  for (const std::string& text : texts) {
    BOOST_CHECK_THROW(platform::DecodeTarget("t", text), Error);
  }
}

// Guards against the same for random changes of a registration.
BOOST_AUTO_TEST_CASE(ChangedRegistrationsAreReadOrErrors) {
  constexpr std::uint64_t kSeed = 20261205;
  const std::string whole = boost::json::serialize(Registration());
  const std::string failure = test::CounterExample(
      kSeed,
      [&whole](const std::vector<std::pair<std::uint16_t, char>>& changes) {
        std::string text = whole;
        for (const auto& [position, byte] : changes) {
          text[position % text.size()] = byte;
        }
        try {
          platform::DecodeTarget("t", text);
        } catch (const Error&) {
          RC_TAG("error");
        }
      });
  BOOST_TEST(failure.empty(), failure);
}

// Guards against bytes of a registration's key that would end the header in
// which the identifier is sent.
BOOST_AUTO_TEST_CASE(IdentifiersFitIntoAHeader) {
  const std::string text = boost::json::serialize(Registration());
  BOOST_TEST(platform::DecodeTarget("i-7f3a91c2", text).id == "i-7f3a91c2");
  for (const char* id :
       {"", "a b", "a\r\nX-Kept: yes", "a\n", "\t", "\x7f", "\xc3\xa4"}) {
    BOOST_CHECK_THROW(platform::DecodeTarget(id, text), Error);
  }
}

// Guards against times that overflow when they are added to the clock.
BOOST_AUTO_TEST_CASE(TimesInHeadersAreBounded) {
  const RelayCodec codec = platform::MakeRelayCodec();
  constexpr std::chrono::hours kDay{24};
  for (const char* text : {"9223372036854775807", "-9223372036854775808",
                           "86400001", "-1", "99999999999999999999", "x"}) {
    BeastResponse reply;
    reply.set("X-Auburnyard-Warmup-Ms", text);
    const auto warm_up = codec.decode_reply(reply).remaining_warm_up;
    BOOST_TEST((!warm_up || (warm_up->count() >= 0 && *warm_up <= kDay)), text);
    BeastRequest request = Request("/p/");
    request.set("X-Auburnyard-Deadline-Ms", text);
    request.set("Auburnyard-Answer-Within-Ms", text);
    const CallerRequest decoded = codec.decode_request(std::move(request));
    for (const auto& time : {decoded.caller_timeout, decoded.answer_within}) {
      BOOST_TEST((!time || (time->count() >= 0 && *time <= kDay)), text);
    }
  }
}

// Guards against a target that attracts requests because the numbers of its
// load overflow the estimate of its delay.
BOOST_AUTO_TEST_CASE(LoadIsBounded) {
  const RelayCodec codec = platform::MakeRelayCodec();
  const auto load_of = [&codec](const char* text) {
    BeastResponse reply;
    reply.set("X-Auburnyard-Server-Load", text);
    return codec.decode_reply(reply).load;
  };
  BOOST_TEST(load_of("3,1,8")->waiting == 1U);
  for (const char* text : {"4294967295,0,8", "0,4294967295,8", "0,0,4294967295",
                           "99999999999,0,8", "3,1", "3,,8"}) {
    BOOST_TEST(!load_of(text).has_value(), text);
  }
}

// Guards against a load report that is lost because of an unreadable fourth
// figure, and against a figure that makes work at the target seem free.
BOOST_AUTO_TEST_CASE(SpeedIsOptionalAndBounded) {
  const RelayCodec codec = platform::MakeRelayCodec();
  const auto load_of = [&codec](const char* text) {
    BeastResponse reply;
    reply.set("X-Auburnyard-Server-Load", text);
    return codec.decode_reply(reply).load;
  };
  BOOST_TEST(load_of("3,1,8,250")->speed_percent.value() == 250U);
  for (const char* text : {"3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-5",
                           "3,1,8,4294967295", "3,1,8,99999999999"}) {
    BOOST_TEST(load_of(text)->running == 3U, text);
    BOOST_TEST(!load_of(text)->speed_percent.has_value(), text);
  }
}

// Guards against values being altered by their encoding in the store.
BOOST_AUTO_TEST_CASE(Base64KeepsAllBytes) {
  std::string bytes;
  for (int i = 0; i < 256; ++i) {
    bytes.push_back(static_cast<char>(i));
    BOOST_TEST(
        (platform::DecodeBase64(platform::EncodeBase64(bytes)) == bytes));
  }
  BOOST_TEST(platform::EncodeBase64("node-1") == "bm9kZS0x");
  BOOST_CHECK_THROW(platform::DecodeBase64("b!9k"), Error);
}

// Guards against forwarding hop-by-hop headers, and against a caller that sets
// headers reserved for entry hosts.
BOOST_AUTO_TEST_CASE(ConnectionHeadersAreNotPassedOn) {
  BeastRequest request = Request("/p/q?x=1");
  request.set("Connection", "keep-alive, X-Private");
  request.set("X-Private", "1");
  request.set("Keep-Alive", "timeout=5");
  request.set("X-Auburnyard-Target-Instance", "other");
  request.set("X-Auburnyard-Deadline-Ms", "800");
  request.set("X-Auburnyard-Request-Id", "id");
  request.set("X-Kept", "yes");
  const CallerRequest decoded =
      platform::MakeRelayCodec().decode_request(std::move(request));
  BOOST_TEST(decoded.path == "/p/q");
  BOOST_TEST(decoded.request_id == "id");
  BOOST_TEST(decoded.caller_timeout->count() == 800);
  BOOST_TEST(decoded.forwarded_head ==
             "GET /p/q?x=1 HTTP/1.1\r\nHost: h\r\n"
             "X-Auburnyard-Request-Id: id\r\nX-Kept: yes\r\n");
}

// Guards against a bundle that is decoded with other values than the requesting
// host has for its route.
BOOST_AUTO_TEST_CASE(BundleHeadersAreReadBack) {
  const RelayCodec codec = platform::MakeRelayCodec();
  const BundleRequest bundle{
      .shards = {"a", "b", "c"},
      .max_missing_parts = 4,
      .top_records = 50,
      .max_attempts = 2,
      .priority = 1,
      .latency_objective = std::chrono::milliseconds(250)};
  const std::string text =
      "GET / HTTP/1.1\r\nHost: h\r\n" + codec.encode_bundle(bundle) + "\r\n";
  boost::beast::http::request_parser<boost::beast::http::string_body> parser;
  boost::beast::error_code error;
  parser.put(boost::asio::buffer(text), error);
  BOOST_REQUIRE(!error);
  BeastRequest request = parser.release();
  request.set("Auburnyard-Answer-Within-Ms", "90");
  const CallerRequest decoded = codec.decode_request(std::move(request));
  BOOST_REQUIRE(decoded.bundle.has_value());
  BOOST_TEST(decoded.bundle->shards == bundle.shards,
             boost::test_tools::per_element());
  BOOST_TEST(decoded.bundle->max_missing_parts == 4U);
  BOOST_TEST(decoded.bundle->top_records == 50U);
  BOOST_TEST(decoded.bundle->max_attempts == 2U);
  BOOST_TEST(decoded.bundle->priority == 1U);
  BOOST_TEST(decoded.bundle->latency_objective.count() == 250);
  BOOST_TEST(decoded.answer_within->count() == 90);
  BOOST_TEST(decoded.forwarded_head == "GET / HTTP/1.1\r\nHost: h\r\n");
}

// Guards against a bundle whose limits are guessed because the requesting host
// did not send them all.
BOOST_AUTO_TEST_CASE(BundleWithoutLimitsIsNotDecoded) {
  for (const char* limits : {"", "50", "50,2,1", "50,2,x,250", "-1,2,1,250"}) {
    BeastRequest request = Request("/p/");
    request.set("Auburnyard-Shards", "a,b");
    request.set("Auburnyard-Bundle-Limits", limits);
    const CallerRequest decoded =
        platform::MakeRelayCodec().decode_request(std::move(request));
    BOOST_TEST(!decoded.bundle.has_value(), limits);
  }
}

// Guards against the requesting host counting parts that are missing from an
// answer.
BOOST_AUTO_TEST_CASE(MissingServicesAreReadBack) {
  const RelayCodec codec = platform::MakeRelayCodec();
  const std::vector<std::string> missing_services = {"a", "b"};
  FanOutResult result;
  result.signatures = {"s"};
  const std::string head = codec.encode_merged(result) +
                           codec.encode_bundle_answer(7, missing_services) +
                           "Content-Length: 0\r\n\r\n";
  boost::beast::http::response_parser<boost::beast::http::string_body> parser;
  boost::beast::error_code error;
  parser.put(boost::asio::buffer(head), error);
  BOOST_REQUIRE(!error);
  const ReplyHead decoded = codec.decode_reply(parser.get());
  BOOST_TEST(decoded.missing_services == missing_services,
             boost::test_tools::per_element());
  BOOST_TEST((decoded.top_records == 7U));
}

// Guards against signatures of a merged answer being lost where the header is
// split into lines.
BOOST_AUTO_TEST_CASE(MergedAnswerNamesAllSignatures) {
  const RelayCodec codec = platform::MakeRelayCodec();
  FanOutResult result;
  for (int i = 0; i < 45; ++i) {
    result.signatures.push_back("s" + std::to_string(i));
  }
  result.missing_parts = 2;
  const std::string head =
      codec.encode_merged(result) + "Content-Length: 0\r\n\r\n";
  boost::beast::http::response_parser<boost::beast::http::string_body> parser;
  boost::beast::error_code error;
  parser.put(boost::asio::buffer(head), error);
  BOOST_REQUIRE(!error);
  const ReplyHead decoded = codec.decode_reply(parser.get());
  BOOST_TEST(decoded.part_signatures == result.signatures,
             boost::test_tools::per_element());
  BOOST_TEST(head.find("X-Auburnyard-Parts-Missing: 2") != std::string::npos);
}

// Guards against targets that leave being lost, or others named, on the way
// between two entry hosts.
BOOST_AUTO_TEST_CASE(LeavingTargetsSurviveTheWay) {
  const RelayCodec codec = platform::MakeRelayCodec();
  const std::vector<TargetIncarnation> leaving = {
      {.id = "i-7f3a", .started_at_ms = 1'733'000'000'123},
      {.id = "odd,/id%", .started_at_ms = 0}};
  const std::string line = codec.encode_leaving(leaving);
  BeastResponse response;
  response.set(
      "Auburnyard-Leaving",
      line.substr(line.find(' ') + 1, line.size() - 2 - line.find(' ') - 1));
  BOOST_TEST((codec.decode_reply(response).leaving_targets == leaving));
  BOOST_TEST(!codec.decode_reply(response).leaving);
  response.set("Auburnyard-Leaving", "no-start,a/x,/,,b/12");
  const auto decoded = codec.decode_reply(response).leaving_targets;
  BOOST_REQUIRE(decoded.size() == 1U);
  BOOST_TEST(decoded[0].id == "b");
}

// Guards against a target that takes another one of two identifiers than the
// host.
BOOST_AUTO_TEST_CASE(SecondRequestIdentifierIsRefused) {
  BeastRequest request(boost::beast::http::verb::get, "/x", 11);
  request.insert(platform::kRequestId, "1");
  BOOST_TEST(platform::MakeRelayCodec().decode_request(request).request_id ==
             "1");
  request.insert(platform::kRequestId, "2");
  BOOST_TEST(
      platform::MakeRelayCodec().decode_request(request).request_id.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
