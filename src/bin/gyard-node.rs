//! The node: accepts calls, routes them, and runs calls on the upstream beside it.

use geraniumyard::{exit_on_error, print_version, run};
use gumdrop::Options;
use kernel::Settings;
use settings::{NodeFlags, NodeSettings, SettingSource, init_logs};

fn main() {
    let flags = NodeFlags::parse_args_default_or_exit();
    if flags.version {
        return print_version("gyard-node");
    }
    let source = SettingSource::new(|name: &str| std::env::var(name).ok());
    let settings = exit_on_error(NodeSettings::read(&flags, &source));
    init_logs(settings.logs);
    node::register();
    control::register();
    run(&Settings::Node(Box::new(settings)));
}
