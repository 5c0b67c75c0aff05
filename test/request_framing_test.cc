#include <boost/test/unit_test.hpp>

#include "test/front_fixture.h"
#include "test/property.h"
#include "test/strict_reader.h"

namespace auburnyard {

namespace {

using test::FrontFixture;
using test::StrictReader;

std::string Pick(const std::vector<std::string>& choices) {
  return *rc::gen::elementOf(choices);
}

std::string Framing() {
  return Pick({"",
               "Content-Length: 0\r\n",
               "Content-Length: 5\r\n",
               "Content-Length: 5, 5\r\n",
               "Content-Length: 05\r\n",
               "Content-Length: 5\r\nContent-Length: 5\r\n",
               "Content-Length: 5\r\nContent-Length: 6\r\n",
               "Transfer-Encoding: chunked\r\n",
               "Transfer-Encoding: Chunked\r\n",
               "Transfer-Encoding:\r\n\tchunked\r\n",
               "Transfer-Encoding: gzip\r\n",
               "Transfer-Encoding: \r\n",
               "Transfer-Encoding: chunked, identity\r\n",
               "Transfer-Encoding: gzip, chunked\r\n",
               "Transfer-Encoding: chunked, chunked\r\n",
               "Transfer-Encoding: xchunked\r\n",
               "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
               "Transfer-Encoding : chunked\r\n",
               "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
               "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
               "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n"});
}

std::string Body() {
  const std::string inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";
  return Pick({"", "12345", inner, "5\r\n12345\r\n0\r\n\r\n",
               "5;a=b\r\n12345\r\n0\r\nX-Trailer: 1\r\n\r\n",
               "0\r\nContent-Length: 5\r\n\r\n", "0\r\n\r\n" + inner,
               "5\n12345\r\n0\r\n\r\n", "+5\r\n12345\r\n0\r\n\r\n",
               "10000000000000005\r\n12345\r\n0\r\n\r\n", "0\r\n" + inner});
}

// One or more requests, proper or not, with a few bytes changed.
std::string Bytes() {
  std::string bytes;
  const int count = *rc::gen::inRange(1, 4);
  for (int i = 0; i < count; ++i) {
    bytes += Pick({"GET", "POST"}) + " /r" + std::to_string(i) +
             Pick({" HTTP/1.1", " HTTP/1.1", " HTTP/1.1", " HTTP/1.0"}) +
             "\r\nHost: h\r\n" + Pick({"", "X-Note: a\r\n b\r\n"}) + Framing() +
             "\r\n" + Body();
  }
  const int changes = *rc::gen::inRange(0, 3);
  for (int i = 0; i < changes; ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    const std::string other =
        Pick({"\r", "\n", " ", "\t", ":", ",", std::string(1, '\0'), "5"});
    if (*rc::gen::arbitrary<bool>()) {
      bytes.insert(at, other);
    } else {
      bytes.replace(at, 1, other);
    }
  }
  return bytes;
}

// Whether the requests that were handled are the first of those that the bytes
// contain.
bool IsPrefix(const std::vector<std::string>& handled,
              const std::vector<std::string>& contained) {
  return handled.size() <= contained.size() &&
         std::equal(handled.begin(), handled.end(), contained.begin());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_framing_test)

// Guards against a request that reaches a target although no client sent it.
BOOST_AUTO_TEST_CASE(OnlyRequestsOfAStrictReaderAreHandled) {
  FrontFixture fixture;
  std::size_t handled = 0;
  const std::string failure = test::CounterExample(20261207, [&] {
    const std::string bytes = Bytes();
    const std::vector<std::string> contained = StrictReader(bytes).Read();
    for (const FrontFixture::Front front :
         {FrontFixture::Front::kRelay, FrontFixture::Front::kSettings}) {
      const auto result = fixture.Exchange(front, bytes, /*ends=*/true);
      handled += result.handled.size();
      RC_ASSERT(IsPrefix(result.handled, contained));
    }
  });
  BOOST_TEST(failure.empty(), failure);
  BOOST_TEST(handled > 100U);
}

// Guards against a reader that finds too much, so that nothing could fail.
BOOST_AUTO_TEST_CASE(StrictReaderFindsNoSmuggledRequest) {
  const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string inner = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  const auto count = [&](const std::string& framing, const std::string& body) {
    return StrictReader(start + framing + "\r\n" + body + inner).Read().size();
  };
  BOOST_TEST(count("", "") == 2U);
  BOOST_TEST(count("Content-Length: 2\r\n", "ab") == 2U);
  BOOST_TEST(count("Transfer-Encoding: chunked\r\n", "0\r\n\r\n") == 2U);
  BOOST_TEST(count("Transfer-Encoding: gzip\r\n", "") == 0U);
  BOOST_TEST(count("Content-Length: 2, 2\r\n", "ab") == 0U);
  BOOST_TEST(count("Content-Length: 31\r\n", "") == 0U);
  BOOST_TEST(count("Transfer-Encoding: chunked\r\n", "") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace auburnyard
