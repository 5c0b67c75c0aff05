#include "src/net/http_message.h"

#include <cctype>

#include <boost/beast/core/string.hpp>

namespace auburnyard {

namespace {

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (boost::beast::iequals({key.data(), key.size()},
                              {name.data(), name.size()})) {
      return value;
    }
  }
  return {};
}

int HexDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(digit));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

}  // namespace

std::string_view HttpRequest::Header(std::string_view name) const {
  return FindHeader(this->headers, name);
}

std::string HttpRequest::Parameter(std::string_view name) const {
  std::string_view rest = this->query;
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos
                 ? ""
                 : DecodePercent(pair.substr(equals + 1));
    }
  }
  return "";
}

std::string_view HttpResponse::Header(std::string_view name) const {
  return FindHeader(this->headers, name);
}

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size();
    const int high = escape ? HexDigit(text[i + 1]) : -1;
    const int low = escape ? HexDigit(text[i + 2]) : -1;
    if (high >= 0 && low >= 0) {
      decoded.push_back(static_cast<char>(high * 16 + low));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

std::string EncodePercent(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_' ||
        character == '.' || character == '~') {
      encoded.push_back(character);
    } else {
      encoded.push_back('%');
      encoded.push_back(kDigits[byte / 16]);
      encoded.push_back(kDigits[byte % 16]);
    }
  }
  return encoded;
}

}  // namespace auburnyard
