#include "LoadTool/ProcessUse.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace LaburnumChute::LoadTool {

ProcessUse processUse(int pid)
{
    // proc(5): after the name in parentheses, field 14 and 15 are utime and stime in clock ticks,
    // field 24 is the resident set in pages.
    constexpr std::size_t UserField = 11;
    constexpr std::size_t SystemField = 12;
    constexpr std::size_t ResidentField = 21;
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string text;
    std::getline(file, text);
    const auto nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos) {
        return {};
    }
    std::istringstream stream(text.substr(nameEnd + 1));
    std::vector<std::string> fields;
    for (std::string field; stream >> field;) {
        fields.push_back(field);
    }
    if (fields.size() <= ResidentField) {
        return {};
    }
    const auto ticks = std::stoull(fields[UserField]) + std::stoull(fields[SystemField]);
    const auto ticksPerSecond = static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
    ProcessUse use;
    use.processorTime = std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(
        static_cast<double>(ticks) / static_cast<double>(ticksPerSecond)));
    use.residentBytes =
        std::stoull(fields[ResidentField]) * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return use;
}

} // namespace LaburnumChute::LoadTool
