#include "pimentoladder/Router/CostMeter.h"

#include <algorithm>

namespace pimentoladder {

namespace {

    constexpr double bytesPerPromptToken = 4;

    class token_meter : public cost_meter {
    public:
        cost_units costWhenSent(const cost_inputs& inputs) const override
        {
            return static_cast<double>(inputs.requestBytes) / bytesPerPromptToken;
        }

        cost_units costOfBytes(std::string_view bytes) const override
        {
            return static_cast<cost_units>(std::count(bytes.begin(), bytes.end(), '\n'));
        }
    };

    class request_meter : public cost_meter {
    public:
        cost_units costWhenSent(const cost_inputs& inputs) const override { return inputs.defaultCost; }
        cost_units costOfBytes(std::string_view) const override { return 0; }
    };

}

const cost_meter& costMeterFor(pool_kind kind)
{
    static const token_meter tokens;
    static const request_meter requests;
    if (kind == pool_kind::model)
        return tokens;
    return requests;
}

}
