#ifndef AUBURNYARD_TEST_STRICT_READER_H_
#define AUBURNYARD_TEST_STRICT_READER_H_

#include <string>
#include <string_view>
#include <vector>

namespace auburnyard::test {

/// Reads requests as RFC 9112 defines them and stops at the first byte that it
/// does not allow. Written from the grammar, without any code of the product.
class StrictReader {
 public:
  explicit StrictReader(std::string_view bytes) : rest(bytes) {}

  /// Path and body of each complete request, in order.
  std::vector<std::string> Read() {
    std::vector<std::string> requests;
    while (!this->rest.empty()) {
      this->head = {};
      std::string body;
      if (!this->ReadRequestLine() || !this->ReadFields(/*trailer=*/false) ||
          !this->ReadBody(body)) {
        break;
      }
      requests.push_back(this->head.path + "=" + body);
      if (this->head.close) {
        break;
      }
    }
    return requests;
  }

 private:
  struct Head {
    std::string path;
    bool http_1_0 = false;
    bool close = false;
    std::vector<std::string> codings;
    std::vector<std::string> lengths;
  };

  static bool IsTokenByte(char byte) {
    constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
           (byte >= 'A' && byte <= 'Z') ||
           kOthers.find(byte) != std::string_view::npos;
  }
  static bool IsValueByte(char byte) {
    const auto code = static_cast<unsigned char>(byte);
    return byte == '\t' || (code >= ' ' && code != 0x7f);
  }
  static std::string Lower(std::string_view text) {
    std::string lower(text);
    for (char& byte : lower) {
      byte = byte >= 'A' && byte <= 'Z' ? static_cast<char>(byte + 32) : byte;
    }
    return lower;
  }
  static std::string Trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
      text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
      text.remove_suffix(1);
    }
    return std::string(text);
  }

  /// Takes a line without its CRLF; false if there is none.
  bool TakeLine(std::string_view& line) {
    const std::size_t end = this->rest.find("\r\n");
    if (end == std::string_view::npos) {
      return false;
    }
    line = this->rest.substr(0, end);
    this->rest.remove_prefix(end + 2);
    for (const char byte : line) {
      if (!IsValueByte(byte)) {
        return false;
      }
    }
    return true;
  }

  bool ReadRequestLine() {
    std::string_view line;
    if (!this->TakeLine(line)) {
      return false;
    }
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    if (first == 0 || first == std::string_view::npos ||
        second == std::string_view::npos || second == first + 1) {
      return false;
    }
    for (const char byte : line.substr(0, first)) {
      if (!IsTokenByte(byte)) {
        return false;
      }
    }
    const std::string_view target = line.substr(first + 1, second - first - 1);
    const std::string_view version = line.substr(second + 1);
    if (target.find('\t') != std::string_view::npos ||
        (version != "HTTP/1.1" && version != "HTTP/1.0")) {
      return false;
    }
    this->head.path = target.substr(0, target.find('?'));
    this->head.http_1_0 = version == "HTTP/1.0";
    this->head.close = this->head.http_1_0;
    return true;
  }

  bool ReadFields(bool trailer) {
    while (true) {
      std::string_view line;
      if (!this->TakeLine(line)) {
        return false;
      }
      if (line.empty()) {
        return true;
      }
      const std::size_t colon = line.find(':');
      if (colon == 0 || colon == std::string_view::npos) {
        return false;
      }
      for (const char byte : line.substr(0, colon)) {
        if (!IsTokenByte(byte)) {
          return false;
        }
      }
      std::string value = Trim(line.substr(colon + 1));
      while (this->rest.starts_with(' ') || this->rest.starts_with('\t')) {
        std::string_view folded;
        if (!this->TakeLine(folded)) {
          return false;
        }
        value = Trim(value + " " + Trim(folded));
      }
      if (!trailer) {
        this->Note(Lower(line.substr(0, colon)), value);
      }
    }
  }

  void Note(const std::string& name, const std::string& value) {
    if (name == "transfer-encoding") {
      this->head.codings.push_back(Lower(value));
    } else if (name == "content-length") {
      this->head.lengths.push_back(value);
    } else if (name == "connection") {
      const std::string options = Lower(value);
      this->head.close = options.find("close") != std::string::npos ||
                         (this->head.http_1_0 &&
                          options.find("keep-alive") == std::string::npos);
    }
  }

  bool ReadBody(std::string& body) {
    if (!this->head.codings.empty()) {
      return this->head.lengths.empty() && !this->head.http_1_0 &&
             this->head.codings == std::vector<std::string>{"chunked"} &&
             this->ReadChunks(body);
    }
    if (this->head.lengths.empty()) {
      return true;
    }
    std::size_t length = 0;
    if (this->head.lengths.size() > 1 ||
        !ReadNumber(this->head.lengths.front(), 10, length) ||
        this->rest.size() < length) {
      return false;
    }
    body = this->rest.substr(0, length);
    this->rest.remove_prefix(length);
    return true;
  }

  bool ReadChunks(std::string& body) {
    while (true) {
      std::string_view line;
      std::size_t size = 0;
      if (!this->TakeLine(line) ||
          !ReadNumber(Trim(line.substr(0, line.find(';'))), 16, size)) {
        return false;
      }
      if (size == 0) {
        return this->ReadFields(/*trailer=*/true);
      }
      if (this->rest.size() < size + 2 ||
          this->rest.substr(size, 2) != "\r\n") {
        return false;
      }
      body += this->rest.substr(0, size);
      this->rest.remove_prefix(size + 2);
    }
  }

  /// Fails above a bound that no test reaches, well before an overflow.
  static bool ReadNumber(const std::string& text,
                         std::size_t base,
                         std::size_t& number) {
    constexpr std::size_t kMax = 1'000'000;
    constexpr std::string_view kDigits = "0123456789abcdef";
    number = 0;
    for (const char byte : Lower(text)) {
      const std::size_t digit = kDigits.find(byte);
      if (digit >= base || number > kMax) {
        return false;
      }
      number = number * base + digit;
    }
    return !text.empty();
  }

  std::string_view rest;
  Head head;
};

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_STRICT_READER_H_
