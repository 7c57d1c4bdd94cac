#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace vanillalift {

/// Command-line parser based on popt. Adds `--help`, `--usage` and `--version` to every program.
class CommandLine {
public:
    /// @param operands operands as shown in the usage line after the options, for example "SETTINGS".
    /// @param minOperands, maxOperands accepted number of operands (arguments that are not options).
    CommandLine(std::string program, std::string operands, size_t minOperands, size_t maxOperands);

    /// Adds an option. @p value is unchanged if the option is not given, and must outlive parse().
    void add(const char* name, char shortName, const char* help, bool& value);
    void add(const char* name, char shortName, const char* valueName, const char* help, std::string& value);
    void add(const char* name, char shortName, const char* valueName, const char* help, int64_t& value);

    /// @returns the operands, or the status with which the program should exit: 0 after --version, 2 after an error, which
    /// is printed to standard error.
    /// @remarks popt handles --help and --usage itself and exits the process with status 0.
    tl::expected<std::vector<std::string>, int> parse(int argc, char** argv);

private:
    struct Option {
        const char* name;
        char shortName;
        const char* valueName;
        const char* help;
        bool* flag = nullptr;
        std::string* text = nullptr;
        int64_t* number = nullptr;
        int flagStorage = 0;
        char* textStorage = nullptr;
        long long numberStorage = 0;
    };

    std::string m_program;
    std::string m_operands;
    size_t m_minOperands;
    size_t m_maxOperands;
    std::deque<Option> m_options;
};

} // namespace vanillalift
