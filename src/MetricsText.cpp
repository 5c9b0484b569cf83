#include "MetricsText.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace bilberry {

// Reads a quoted label value and resolves its escapes. Returns false when the closing quote is missing.
static bool readQuotedValue(absl::string_view& text, std::string& value)
{
    if (!absl::ConsumePrefix(&text, "\""))
        return false;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '"') {
            text.remove_prefix(i + 1);
            return true;
        }
        bool isEscape = text[i] == '\\' && i + 1 < text.size();
        if (isEscape)
            ++i;
        value += isEscape && text[i] == 'n' ? '\n' : text[i];
    }
    return false;
}

// Reads the labels `name="value",…}` that follow the opening brace. Returns false when they are malformed.
static bool readLabels(absl::string_view& text, MetricLabels& labels)
{
    while (!absl::ConsumePrefix(&text, "}")) {
        auto equals = text.find('=');
        if (equals == absl::string_view::npos)
            return false;
        std::string name(absl::StripAsciiWhitespace(text.substr(0, equals)));
        text.remove_prefix(equals + 1);
        if (name.empty() || !readQuotedValue(text, labels[name]))
            return false;
        absl::ConsumePrefix(&text, ",");
    }
    return true;
}

static bool readSample(absl::string_view line, MetricSample& sample)
{
    auto nameEnd = line.find_first_of("{ ");
    if (nameEnd == absl::string_view::npos || nameEnd == 0)
        return false;
    sample.name = std::string(line.substr(0, nameEnd));
    line.remove_prefix(nameEnd);
    if (absl::ConsumePrefix(&line, "{") && !readLabels(line, sample.labels))
        return false;
    // A timestamp may follow the value.
    std::vector<std::string> words = absl::StrSplit(line, ' ', absl::SkipEmpty());
    return !words.empty() && absl::SimpleAtod(words[0], &sample.value);
}

absl::StatusOr<std::vector<MetricSample>> parseMetricsText(std::string_view text)
{
    std::vector<MetricSample> samples;
    size_t number = 0;
    for (absl::string_view line : absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
        ++number;
        line = absl::StripAsciiWhitespace(line);
        if (line.empty() || line.front() == '#')
            continue;
        MetricSample sample;
        if (!readSample(line, sample))
            return absl::InvalidArgumentError(absl::StrCat("metrics, line ", number, ": malformed sample: ", std::string(line.substr(0, 80))));
        samples.push_back(std::move(sample));
    }
    return samples;
}

std::string findLabel(const MetricLabels& labels, const std::string& name)
{
    auto found = labels.find(name);
    return found == labels.end() ? std::string() : found->second;
}

} // namespace bilberry
