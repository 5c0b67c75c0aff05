#include "src/core/json_reader.h"

#include <algorithm>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/stream_parser.hpp>

namespace auburnyard::detail {

namespace {

std::string PositionOf(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, offset);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const std::size_t line_start = before.rfind('\n') + 1;
  return "line " + std::to_string(line) + ", column " +
         std::to_string(offset - line_start + 1);
}

// Limits the parser's recursion on untrusted input.
constexpr std::size_t kMaxDepth = 32;

}  // namespace

boost::json::value ParseJson(std::string_view text,
                             ErrorKind kind,
                             bool comments) {
  boost::json::parse_options options;
  options.allow_comments = comments;
  options.max_depth = kMaxDepth;
  boost::json::stream_parser parser({}, options);
  boost::json::error_code error;
  const std::size_t used = parser.write_some(text.data(), text.size(), error);
  if (!error) {
    const std::size_t end = text.find_first_not_of(" \t\r\n", used);
    if (end != std::string_view::npos) {
      throw Error(kind, "invalid JSON at " + PositionOf(text, end) +
                            ": unexpected text after the document");
    }
    parser.finish(error);
  }
  if (error) {
    throw Error(kind, "invalid JSON at " + PositionOf(text, used) + ": " +
                          error.message());
  }
  return parser.release();
}

JsonReader::JsonReader(const boost::json::value& value,
                       std::string object_path,
                       ErrorKind error_kind)
    : members(value.if_object()),
      path(std::move(object_path)),
      kind(error_kind) {
  if (this->members == nullptr) {
    throw Error(this->kind, (this->path.empty() ? "document" : this->path) +
                                ": expected an object");
  }
}

bool JsonReader::Has(std::string_view name) const {
  return this->members->contains(name);
}

std::string JsonReader::PathOf(std::string_view name) const {
  return this->path.empty() ? std::string(name)
                            : this->path + "." + std::string(name);
}

void JsonReader::Fail(std::string_view name, std::string_view expected) const {
  throw Error(this->kind,
              this->PathOf(name) + ": expected " + std::string(expected));
}

const boost::json::value& JsonReader::Member(std::string_view name) const {
  const boost::json::value* value = this->members->if_contains(name);
  if (value == nullptr) {
    throw Error(this->kind,
                this->PathOf(name) + ": required member is missing");
  }
  return *value;
}

std::string JsonReader::String(std::string_view name) const {
  const boost::json::value& value = this->Member(name);
  if (!value.is_string()) {
    this->Fail(name, "a string");
  }
  return std::string(value.get_string());
}

std::string JsonReader::String(std::string_view name,
                               std::string_view fallback) const {
  return this->Has(name) ? this->String(name) : std::string(fallback);
}

std::uint64_t JsonReader::Integer(std::string_view name,
                                  std::uint64_t low,
                                  std::uint64_t high) const {
  boost::json::error_code error;
  const auto number = this->Member(name).to_number<std::uint64_t>(error);
  if (error || number < low || number > high) {
    this->Fail(name, "an integer from " + std::to_string(low) + " to " +
                         std::to_string(high));
  }
  return number;
}

std::uint64_t JsonReader::Integer(std::string_view name,
                                  std::uint64_t low,
                                  std::uint64_t high,
                                  std::uint64_t fallback) const {
  return this->Has(name) ? this->Integer(name, low, high) : fallback;
}

double JsonReader::Number(std::string_view name,
                          double low,
                          double high,
                          double fallback) const {
  if (!this->Has(name)) {
    return fallback;
  }
  boost::json::error_code error;
  const auto number = this->Member(name).to_number<double>(error);
  if (error || !(number >= low && number <= high)) {
    this->Fail(name, "a number from " + std::to_string(low) + " to " +
                         std::to_string(high));
  }
  return number;
}

bool JsonReader::Boolean(std::string_view name, bool fallback) const {
  if (!this->Has(name)) {
    return fallback;
  }
  const boost::json::value& value = this->Member(name);
  if (!value.is_bool()) {
    this->Fail(name, "true or false");
  }
  return value.get_bool();
}

const boost::json::array& JsonReader::Array(std::string_view name) const {
  const boost::json::value& value = this->Member(name);
  if (!value.is_array()) {
    this->Fail(name, "an array");
  }
  return value.get_array();
}

const boost::json::object& JsonReader::Object(std::string_view name) const {
  const boost::json::value& value = this->Member(name);
  if (!value.is_object()) {
    this->Fail(name, "an object");
  }
  return value.get_object();
}

JsonReader JsonReader::Child(std::string_view name) const {
  return {this->Member(name), this->PathOf(name), this->kind};
}

void JsonReader::AllowOnly(
    std::initializer_list<std::string_view> names) const {
  for (const auto& member : *this->members) {
    const std::string_view key = member.key();
    if (std::find(names.begin(), names.end(), key) == names.end()) {
      throw Error(this->kind, this->PathOf(key) + ": unknown member");
    }
  }
}

}  // namespace auburnyard::detail
