//! The tool's help text.

/// Commands, options, exit codes and examples.
pub const HELP: &str = "\
Usage: lockloft [--entry ADDR] [--json] COMMAND [ARGUMENTS]

Applies policies and asks lockloft what it does and why.

Commands:
    apply PATH              apply the policies in a file or folder
        --wait              wait until every instance has them in force
        --expect REVISION   refuse unless this revision is in force
        --by NAME           who applies them (default: $USER)
    check PATH              check policies without an instance
    show                    print the policies in force
    status                  what the instance knows of itself and the store
    instances               all instances
    targets                 all targets and their load
    quota [TENANT]          tenants' quotas and what the instance lets through
    why KEY=VALUE...        a dry decision: host=H path=P [method=M] [object=O]
                            [tenant=T] [HEADER=V...]
    explain ID              what became of a request
        --log FILE          from collected log lines; may be repeated

Options:
    -e, --entry ADDR        peers' address of any instance (or LOCKLOFT_ENTRY)
        --json              print JSON
    -h, --help              print this help
    -V, --version           print the version

Exit codes:
    0  done
    1  refused: bad policies, an unknown name, an instance that cannot
    2  the command line cannot be read
    3  another operator's change came first
    4  no instance answers
    5  --wait ran out of time; the policies are applied

Examples:
    lockloft check examples/policies.toml
    lockloft --entry 10.1.0.4:8544 apply examples/policies.toml --wait
    lockloft --entry 10.1.0.4:8544 why host=tickets.example path=/buy/ object=sailing-7
    lockloft explain request-2 --log e-1.log --log e-2.log
";
