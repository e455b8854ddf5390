#include "common/error.hpp"

#include <string>

namespace fireflysail
{

namespace
{

class fireflysail_category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "fireflysail";
    }

    std::string message(int value) const override
    {
        switch (static_cast<errc>(value))
        {
        case errc::conflict:
            return "conflicting version";
        case errc::not_found:
            return "not found";
        case errc::unavailable:
            return "unavailable, no effect";
        case errc::unknown_effect:
            return "no answer, effect unknown";
        case errc::malformed:
            return "malformed answer";
        case errc::over_budget:
            return "call budget used up";
        case errc::forbidden:
            return "forbidden";
        case errc::invalid_argument:
            return "invalid argument";
        case errc::compacted:
            return "history compacted";
        case errc::cancelled:
            return "cancelled";
        }
        return "unknown error";
    }
};

} // namespace

std::error_code make_error_code(errc code)
{
    static const fireflysail_category category;
    return {static_cast<int>(code), category};
}

} // namespace fireflysail
