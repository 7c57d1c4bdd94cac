#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace vanillalift {

/// Command line of a program, parsed by popt. `--help`, `--usage` and `--version` are present in every program.
class CommandLine {
public:
    /// @param operands text of the usage line after the options, for example "SETTINGS".
    /// @param minOperands, maxOperands accepted count of arguments that are not options.
    CommandLine(std::string program, std::string operands, size_t minOperands, size_t maxOperands);

    /// The variables keep their value if the option is not given, and must outlive parse().
    void add(const char* name, char shortName, const char* help, bool& value);
    void add(const char* name, char shortName, const char* valueName, const char* help, std::string& value);
    void add(const char* name, char shortName, const char* valueName, const char* help, int64_t& value);

    /// @returns the operands, or the exit status of a program that has nothing left to do: 0 after --version, 2 after
    /// a fault, which is printed on the standard error stream.
    /// @remarks --help and --usage are printed by popt, which ends the process with status 0.
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
