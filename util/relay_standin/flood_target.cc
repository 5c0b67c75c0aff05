#include "util/relay_standin/flood_target.h"

#include <array>
#include <tuple>
#include <utility>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "auburnyard/error.h"
#include "platform/wire_names.h"

namespace auburnyard::util {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kBlockBytes = 64 * 1024;
constexpr std::array<std::pair<FloodShape, std::string_view>, 8> kShapes = {{
    {FloodShape::kChunked, "chunked"},
    {FloodShape::kUntilClose, "until-close"},
    {FloodShape::kInformational, "informational"},
    {FloodShape::kHead, "head"},
    {FloodShape::kContentLength, "content-length"},
    {FloodShape::kChunkExtension, "chunk-extension"},
    {FloodShape::kTrailer, "trailer"},
    {FloodShape::kSurplus, "surplus"},
}};

std::string Repeat(std::string_view text) {
  std::string block;
  while (block.size() < kBlockBytes) {
    block += text;
  }
  return block;
}

// Start of the answer to a request, and what follows it without end.
std::pair<std::string, std::string> Bytes(FloodShape shape,
                                          const std::string& head) {
  const std::string filler(1'000, 'x');
  switch (shape) {
    case FloodShape::kChunked:
      return {head + "Transfer-Encoding: chunked\r\n\r\n",
              Repeat("3e8\r\n" + filler + "\r\n")};
    case FloodShape::kUntilClose:
      return {head + "\r\n", Repeat(filler)};
    case FloodShape::kInformational:
      return {"", Repeat("HTTP/1.1 100 Continue\r\n\r\n")};
    case FloodShape::kHead:
      return {head, Repeat("Field: " + filler + "\r\n")};
    case FloodShape::kContentLength:
      return {head + "Content-Length: 999999999999\r\n\r\n", Repeat(filler)};
    case FloodShape::kChunkExtension:
      return {head + "Transfer-Encoding: chunked\r\n\r\n1;", Repeat(filler)};
    case FloodShape::kTrailer:
      return {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
              Repeat("Field: " + filler + "\r\n")};
    case FloodShape::kSurplus:
      return {head + "Content-Length: 1\r\n\r\nx", Repeat(filler)};
  }
  return {};
}

std::string RequestIdOf(const std::string& head) {
  const std::string start = "\r\n" + std::string(platform::kRequestId) + ": ";
  const std::size_t found = head.find(start);
  if (found == std::string::npos) {
    return {};
  }
  const std::size_t begin = found + start.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

std::string_view ToString(FloodShape shape) {
  return kShapes.at(static_cast<std::size_t>(shape)).second;
}

std::span<const FloodShape> AllFloodShapes() {
  static const auto kAll = [] {
    std::array<FloodShape, kShapes.size()> all{};
    for (std::size_t i = 0; i < all.size(); ++i) {
      all.at(i) = kShapes.at(i).first;
    }
    return all;
  }();
  return kAll;
}

class FloodTarget::Connection
    : public std::enable_shared_from_this<FloodTarget::Connection> {
 public:
  Connection(FloodTarget& flood_target, asio::ip::tcp::socket accepted)
      : target(flood_target), socket(std::move(accepted)) {}

  void Start() {
    asio::async_read_until(this->socket, asio::dynamic_buffer(this->request),
                           "\r\n\r\n",
                           [self = this->shared_from_this()](
                               boost::system::error_code error, std::size_t) {
                             if (!error) {
                               self->Answer();
                             }
                           });
  }

 private:
  void Answer() {
    const std::string id = RequestIdOf(this->request);
    std::tie(this->block, this->repeated) = Bytes(
        this->target.shape,
        "HTTP/1.1 200 OK\r\n" + std::string(platform::kRequestId) + ": " + id +
            "\r\n" + std::string(platform::kSignature) + ": f." + id + "\r\n");
    this->Write();
  }
  void Write() {
    asio::async_write(this->socket, asio::buffer(this->block),
                      [self = this->shared_from_this()](
                          boost::system::error_code error, std::size_t size) {
                        self->target.sent += size;
                        if (!error) {
                          self->block = self->repeated;
                          self->Write();
                        }
                      });
  }

  FloodTarget& target;
  asio::ip::tcp::socket socket;
  std::string request;
  std::string block;
  std::string repeated;
};

FloodTarget::FloodTarget(std::string flooded_service,
                         std::string failure_domain,
                         FloodShape flood_shape)
    : service(std::move(flooded_service)),
      domain(std::move(failure_domain)),
      shape(flood_shape) {
  try {
    this->acceptor.open(asio::ip::tcp::v4());
    this->acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    this->acceptor.listen();
  } catch (const boost::system::system_error& error) {
    throw Error(ErrorKind::kConnection, error.what());
  }
  this->Accept();
  this->thread = std::jthread([this] { this->io.run(); });
}

FloodTarget::~FloodTarget() {
  this->io.stop();
  this->thread.join();
}

void FloodTarget::Accept() {
  this->acceptor.async_accept(
      [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (!error) {
          std::make_shared<Connection>(*this, std::move(socket))->Start();
        }
        if (this->acceptor.is_open()) {
          this->Accept();
        }
      });
}

std::string FloodTarget::Registration() const {
  return boost::json::serialize(boost::json::object{
      {"service", this->service},
      {"address",
       "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port())},
      {"zone", this->domain},
      {"version", "v1"},
      {"slots", 2},
      {"state", "ready"},
      {"warmup_left_ms", 0},
      {"born", 1},
      {"seq_num", 1}});
}

}  // namespace auburnyard::util
