#include "src/net/message_head.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include <boost/beast/core/string.hpp>

namespace auburnyard {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;
constexpr std::string_view kChunked = "chunked";

class HeadFaultCategory : public boost::system::error_category {
 public:
  const char* name() const noexcept override { return "auburnyard.head"; }
  std::string message(int value) const override {
    switch (static_cast<HeadFault>(value)) {
      case HeadFault::kNone:
        return "no fault";
      case HeadFault::kBadCoding:
        return "the transfer coding does not end in \"chunked\"";
      case HeadFault::kUnknownCoding:
        return "unknown transfer coding";
      case HeadFault::kCodingAndLength:
        return "transfer coding beside a length";
      case HeadFault::kCodingInHttp10:
        return "transfer coding in HTTP/1.0";
      case HeadFault::kSeveralLengths:
        return "several lengths";
      case HeadFault::kSeveralHosts:
        return "several hosts";
      case HeadFault::kMergedHeads:
        return "a status line inside a reply's head";
    }
    return "unknown fault";
  }
};

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

// Elements of a comma-separated field, in order. Empty ones are kept: they
// stand for nothing that a sender may write.
std::vector<std::string_view> ElementsOf(const http::fields& fields,
                                         http::field name) {
  std::vector<std::string_view> elements;
  const auto lines = fields.equal_range(name);
  for (auto line = lines.first; line != lines.second; ++line) {
    std::string_view rest(line->value().data(), line->value().size());
    while (true) {
      const std::size_t comma = rest.find(',');
      elements.push_back(Trim(rest.substr(0, comma)));
      if (comma == std::string_view::npos) {
        break;
      }
      rest.remove_prefix(comma + 1);
    }
  }
  return elements;
}

bool IsChunked(std::string_view coding) {
  return boost::beast::iequals(coding, kChunked);
}

HeadFault CheckCodings(const std::vector<std::string_view>& codings) {
  if (!IsChunked(codings.back())) {
    return HeadFault::kBadCoding;
  }
  for (std::size_t i = 0; i + 1 < codings.size(); ++i) {
    if (codings[i].empty() || IsChunked(codings[i])) {
      return HeadFault::kBadCoding;
    }
  }
  return codings.size() == 1 ? HeadFault::kNone : HeadFault::kUnknownCoding;
}

// RFC 9112, 6.1 and 6.3. Where it leaves a choice, the message is rejected.
HeadFault CheckFraming(const http::fields& fields, unsigned version) {
  const std::vector<std::string_view> codings =
      ElementsOf(fields, http::field::transfer_encoding);
  const std::size_t lengths =
      ElementsOf(fields, http::field::content_length).size();
  if (codings.empty()) {
    return lengths > 1 ? HeadFault::kSeveralLengths : HeadFault::kNone;
  }
  if (lengths > 0) {
    return HeadFault::kCodingAndLength;
  }
  if (version < kHttp11) {
    return HeadFault::kCodingInHttp10;
  }
  return CheckCodings(codings);
}

bool IsDigit(char byte) {
  return byte >= '0' && byte <= '9';
}

// Whether the text contains the start of a status line, such as "HTTP/1.1 2".
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kName = "HTTP/";
  constexpr std::size_t kStartBytes = kName.size() + 5;
  for (std::size_t at = text.find(kName);
       at != std::string_view::npos && at + kStartBytes <= text.size();
       at = text.find(kName, at + 1)) {
    const std::string_view version = text.substr(at + kName.size());
    if (IsDigit(version[0]) && version[1] == '.' && IsDigit(version[2]) &&
        version[3] == ' ' && IsDigit(version[4])) {
      return true;
    }
  }
  return false;
}

// The first bytes of a reply that the server sent a second time may precede the
// next one. The parser reads both heads as one if the first ends inside the
// reason phrase or a value.
bool ContainsSecondHead(const http::header<false, http::fields>& head) {
  const auto contains = [](boost::beast::string_view text) {
    return ContainsStatusLine({text.data(), text.size()});
  };
  return contains(head.reason()) ||
         std::any_of(head.begin(), head.end(), [&contains](const auto& field) {
           return contains(field.value());
         });
}

}  // namespace

HeadFault CheckHead(const http::header<true, http::fields>& head) {
  const HeadFault fault = CheckFraming(head, head.version());
  if (fault == HeadFault::kNone && head.count(http::field::host) > 1) {
    return HeadFault::kSeveralHosts;
  }
  return fault;
}

HeadFault CheckHead(const http::header<false, http::fields>& head) {
  if (ContainsSecondHead(head)) {
    return HeadFault::kMergedHeads;
  }
  return CheckFraming(head, head.version());
}

boost::beast::error_code make_error_code(HeadFault fault) {
  static const HeadFaultCategory kCategory;
  return {static_cast<int>(fault), kCategory};
}

}  // namespace auburnyard
