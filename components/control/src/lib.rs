//! Plug-ins of the control replica: replica, operator and keeper.
