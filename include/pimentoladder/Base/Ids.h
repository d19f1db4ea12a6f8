/// \file
/// Strong types for names and numbers, so that identifiers of different kinds
/// cannot be confused.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace pimentoladder {

/// A string identifier of one kind. An empty one means "none".
/// Thread-safety: as safe as `std::string`.
template <typename Tag>
class strong_name {
public:
    strong_name() = default;
    explicit strong_name(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    auto operator<=>(const strong_name&) const = default;

private:
    std::string m_value;
};

/// A numeric identifier of one kind. Zero means "none" where the alias's comment
/// says so.
/// Thread-safety: as safe as an integer.
template <typename Tag>
class strong_number {
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const { return m_value; }

    constexpr auto operator<=>(const strong_number&) const = default;

private:
    std::uint64_t m_value = 0;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& stream, const strong_name<Tag>& name)
{
    return stream << name.value();
}

template <typename Tag>
std::ostream& operator<<(std::ostream& stream, strong_number<Tag> number)
{
    return stream << number.value();
}

using workspace_id = strong_name<struct workspace_tag>;
using pool_id = strong_name<struct pool_tag>;
using server_id = strong_name<struct server_tag>;
using data_centre_id = strong_name<struct data_centre_tag>;
using vm_id = strong_name<struct vm_tag>;
using rule_id = strong_name<struct rule_tag>;
/// Name of a model or an adapter that engines load.
using model_id = strong_name<struct model_tag>;
/// Name of a shard: the pool and the shard's index, as "pool#index".
using shard_id = strong_name<struct shard_tag>;

/// Revision of the configuration document in the platform's table. Zero: none.
using revision = strong_number<struct revision_tag>;
/// Number of the store's history. A store that has been restored from a copy continues
/// from earlier revisions under the next era. Zero: the store names no era.
using store_era = strong_number<struct store_era_tag>;
/// Number of a process start. A later start on the same VM has a higher one.
using incarnation = strong_number<struct incarnation_tag>;
/// Fencing token of a shard owner: the revision at which its ownership began.
using fencing_token = strong_number<struct fencing_tag>;
/// Number of a grant, unique within its shard and fencing token.
using grant_number = strong_number<struct grant_tag>;
/// Number of a caller's request, unique within a router incarnation.
using request_number = strong_number<struct request_tag>;
/// Number of an attempt at a request, unique within a router incarnation.
using attempt_number = strong_number<struct attempt_tag>;
/// Fingerprint of a request: workspace, method, path and body. Zero: none.
using fingerprint = strong_number<struct fingerprint_tag>;

/// Cost of a request in cost units: tokens read and written, or the pool's unit.
using cost_units = double;

}

template <typename Tag>
struct std::hash<pimentoladder::strong_name<Tag>> {
    std::size_t operator()(const pimentoladder::strong_name<Tag>& name) const noexcept
    {
        return std::hash<std::string> {}(name.value());
    }
};

template <typename Tag>
struct std::hash<pimentoladder::strong_number<Tag>> {
    std::size_t operator()(pimentoladder::strong_number<Tag> number) const noexcept
    {
        return std::hash<std::uint64_t> {}(number.value());
    }
};
