#ifndef AUBURNYARD_SRC_CORE_JSON_READER_H_
#define AUBURNYARD_SRC_CORE_JSON_READER_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "auburnyard/error.h"

namespace auburnyard::detail {

/// Parses a document, with comments if `comments` is set. Throws Error(kind)
/// with line and column.
boost::json::value ParseJson(std::string_view text,
                             ErrorKind kind,
                             bool comments = false);

/// Checked access to the members of one JSON object. Every error message starts
/// with the path of the member.
class JsonReader {
 public:
  /// Throws if `value` is not an object.
  JsonReader(const boost::json::value& value, std::string path, ErrorKind kind);

  bool Has(std::string_view name) const;
  std::string String(std::string_view name) const;
  std::string String(std::string_view name, std::string_view fallback) const;
  std::uint64_t Integer(std::string_view name,
                        std::uint64_t low,
                        std::uint64_t high) const;
  std::uint64_t Integer(std::string_view name,
                        std::uint64_t low,
                        std::uint64_t high,
                        std::uint64_t fallback) const;
  double Number(std::string_view name,
                double low,
                double high,
                double fallback) const;
  bool Boolean(std::string_view name, bool fallback) const;
  const boost::json::array& Array(std::string_view name) const;
  const boost::json::object& Object(std::string_view name) const;
  JsonReader Child(std::string_view name) const;
  /// Throws if the object has a member that is not in `names`.
  void AllowOnly(std::initializer_list<std::string_view> names) const;
  std::string PathOf(std::string_view name) const;
  const boost::json::object& object() const { return *this->members; }

 private:
  const boost::json::value& Member(std::string_view name) const;
  [[noreturn]] void Fail(std::string_view name,
                         std::string_view expected) const;

  const boost::json::object* members;
  std::string path;
  ErrorKind kind;
};

}  // namespace auburnyard::detail

#endif  // AUBURNYARD_SRC_CORE_JSON_READER_H_
