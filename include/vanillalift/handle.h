#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>

namespace vanillalift {

/// Type-safe index into a table; the tag tells the tables apart. A default-constructed handle is invalid.
template <typename Tag>
struct Handle {
    static constexpr uint16_t invalidIndex = std::numeric_limits<uint16_t>::max();

    uint16_t index = invalidIndex;

    [[nodiscard]] constexpr bool isValid() const { return index != invalidIndex; }
    constexpr auto operator<=>(const Handle&) const = default;
};

using ProfileHandle = Handle<struct ProfileTag>;
using ServiceHandle = Handle<struct ServiceTag>;
using TeamHandle = Handle<struct TeamTag>;
using EndpointHandle = Handle<struct EndpointTag>;
using EntryHandle = Handle<struct EntryTag>;

} // namespace vanillalift

template <typename Tag>
struct std::hash<vanillalift::Handle<Tag>> {
    size_t operator()(const vanillalift::Handle<Tag>& handle) const noexcept { return handle.index; }
};
