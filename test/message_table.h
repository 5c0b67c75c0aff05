#ifndef AUBURNYARD_TEST_MESSAGE_TABLE_H_
#define AUBURNYARD_TEST_MESSAGE_TABLE_H_

#include <fstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace auburnyard::test {

/// A row of docs/http-messages.md: name, message, and the other columns.
struct MessageRow {
  std::string name;
  std::string message;
  std::vector<std::string> columns;
};

/// Replaces \r, \n, \t and \0 by these bytes.
inline std::string Unescape(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 == text.size()) {
      bytes += text[i];
      continue;
    }
    constexpr std::string_view kNames = "rnt0";
    constexpr std::string_view kBytes{"\r\n\t\0", 4};
    const std::size_t found = kNames.find(text[++i]);
    if (found == std::string_view::npos) {
      throw std::runtime_error("unknown escape in a message");
    }
    bytes += kBytes[found];
  }
  return bytes;
}

/// Rows of the table under "## `heading`".
inline std::vector<MessageRow> ReadMessageTable(const std::string& path,
                                                const std::string& heading) {
  std::ifstream file(path);
  std::vector<MessageRow> rows;
  bool inside = false;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("## ")) {
      inside = line == "## " + heading;
    }
    if (!inside || !line.starts_with("| ") || !line.ends_with(" |") ||
        line.find('`') == std::string::npos) {
      continue;
    }
    std::vector<std::string> cells;
    constexpr std::string_view kSeparator = " | ";
    std::string_view rest(line);
    rest.remove_prefix(2);
    rest.remove_suffix(2);
    for (std::size_t end = 0; end != std::string_view::npos;) {
      end = rest.find(kSeparator);
      cells.emplace_back(rest.substr(0, end));
      rest.remove_prefix(end == std::string_view::npos
                             ? rest.size()
                             : end + kSeparator.size());
    }
    const std::string& quoted = cells.at(1);
    rows.push_back({cells.at(0),
                    Unescape(quoted.substr(1, quoted.size() - 2)),
                    {cells.begin() + 2, cells.end()}});
  }
  return rows;
}

}  // namespace auburnyard::test

#endif  // AUBURNYARD_TEST_MESSAGE_TABLE_H_
